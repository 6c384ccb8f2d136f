#pragma once

#include "modules/berylcrank_http/client/upstream_client.h"

#include <atomic>
#include <future>

namespace berylcrank::testing {

/** Records one attempt. @see recording_observer::wait */
class recording_observer final : public upstream_observer {
public:
    std::atomic<bool> allows_send{true};
    std::atomic<bool> takes_body{true};
    std::atomic<int> heads{0};
    std::atomic<int> asked{0};
    std::atomic<int> refused_parts{0};
    std::string body; ///< Read after `wait`.

    bool may_send(const connection_info& /*it*/) override {
        ++asked;
        return allows_send;
    }

    bool on_head(const http_response_head& /*head*/, std::optional<std::uint64_t> /*n*/) override {
        ++heads;
        return true;
    }

    bool on_body(std::span<const char> bytes) override {
        if (!takes_body) {
            ++refused_parts;
            return false;
        }
        body.append(bytes.data(), bytes.size());
        return true;
    }

    void on_done(const attempt_result& it) override { done_.set_value(it); }

    /** The result; throws after 10 s. */
    attempt_result wait() {
        auto it = done_.get_future();
        if (it.wait_for(std::chrono::seconds(10)) != std::future_status::ready) {
            throw std::runtime_error("the attempt did not end in time");
        }
        return it.get();
    }

private:
    std::promise<attempt_result> done_;
};

} // namespace berylcrank::testing
