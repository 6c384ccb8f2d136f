#pragma once

#include "modules/berylcrank_http/server/http_server.h"

#include <boost/leaf/handle_errors.hpp>
#include <functional>
#include <stdexcept>
#include <thread>

namespace berylcrank::testing {

/** Calls a function for each request. */
class function_handler final : public http_handler {
public:
    explicit function_handler(std::function<void(std::shared_ptr<http_exchange>)> function)
        : function_(std::move(function)) {}
    void handle(std::shared_ptr<http_exchange> exchange) override { function_(std::move(exchange)); }

private:
    std::function<void(std::shared_ptr<http_exchange>)> function_;
};

/** Starts a server. Throws if that fails. */
inline std::unique_ptr<http_server> start_server(const http_server::options& opts, http_handler& handler) {
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<std::unique_ptr<http_server>> {
            return start_http_server(opts, handler);
        },
        [](const std::string& reason) -> std::unique_ptr<http_server> { throw std::runtime_error(reason); },
        []() -> std::unique_ptr<http_server> { throw std::runtime_error("the server did not start"); });
}

/** Polls until `is_true` returns true. Throws after 10 s. */
inline void wait_until(const std::function<bool()>& is_true) {
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(10);
    while (!is_true()) {
        if (std::chrono::steady_clock::now() > end) {
            throw std::runtime_error("the condition was not met within 10 s");
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
}

} // namespace berylcrank::testing
