#pragma once

#include "modules/berylcrank_http/client/upstream_client.h"

#include <atomic>
#include <future>

namespace berylcrank::testing {

/** Records the events of one attempt. @see recording_observer::wait */
class recording_observer final : public upstream_observer {
public:
    std::atomic<bool> allows_send{true};
    std::atomic<bool> accepts_body{true};
    std::atomic<int> head_count{0};
    std::atomic<int> may_send_calls{0};
    std::atomic<int> refused_blocks{0};
    std::string body; ///< Read only after `wait`.

    bool may_send(const connection_info& /*it*/) override {
        ++may_send_calls;
        return allows_send;
    }

    bool on_head(const http_response_head& /*head*/, std::optional<std::uint64_t> /*n*/) override {
        ++head_count;
        return true;
    }

    bool on_body(std::span<const char> bytes) override {
        if (!accepts_body) {
            ++refused_blocks;
            return false;
        }
        body.append(bytes.data(), bytes.size());
        return true;
    }

    void on_done(const attempt_result& result) override { done_.set_value(result); }

    /** Waits for the result. Throws after 10 s. */
    attempt_result wait() {
        auto future = done_.get_future();
        if (future.wait_for(std::chrono::seconds(10)) != std::future_status::ready) {
            throw std::runtime_error("the attempt did not end within 10 s");
        }
        return future.get();
    }

private:
    std::promise<attempt_result> done_;
};

} // namespace berylcrank::testing
