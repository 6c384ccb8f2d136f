#pragma once

#include "modules/berylcrank_http/server/http_server.h"

#include <boost/leaf/handle_errors.hpp>
#include <functional>
#include <stdexcept>
#include <thread>

namespace berylcrank::testing {

/** A handler made of a function. */
class function_handler final : public http_handler {
public:
    explicit function_handler(std::function<void(std::shared_ptr<http_exchange>)> it) : it_(std::move(it)) {}
    void handle(std::shared_ptr<http_exchange> exchange) override { it_(std::move(exchange)); }

private:
    std::function<void(std::shared_ptr<http_exchange>)> it_;
};

/** Starts a server; fails the test if that is not possible. */
inline std::unique_ptr<http_server> start_server(const http_server::options& it, http_handler& handler) {
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<std::unique_ptr<http_server>> { return start_http_server(it, handler); },
        [](const std::string& reason) -> std::unique_ptr<http_server> { throw std::runtime_error(reason); },
        []() -> std::unique_ptr<http_server> { throw std::runtime_error("no server"); });
}

/** Waits until `is_true`; fails the test after 10 s. */
inline void wait_until(const std::function<bool()>& is_true) {
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(10);
    while (!is_true()) {
        if (std::chrono::steady_clock::now() > end) {
            throw std::runtime_error("the event did not come in time");
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
}

} // namespace berylcrank::testing
