#pragma once

#include "modules/berylcrank_core/sync/mutex.h"
#include "modules/berylcrank_node/request/attempt_router.h"

#include <algorithm>

namespace berylcrank::testing {

/** Routes each attempt to the first of the upstreams "u0", "u1", ... that is not excluded. */
class fixed_router final : public attempt_router {
public:
    explicit fixed_router(std::vector<std::string> addresses) : addresses_(std::move(addresses)) {}

    /** Returns the routing requests so far. */
    std::vector<attempt_request> requests() {
        const lock_guard hold(mutex_);
        return requests_;
    }

    /** Returns how the attempts ended. */
    std::vector<attempt_end> ends() {
        const lock_guard hold(mutex_);
        return ends_;
    }

    void route(attempt_request request, target_callback found, refusal_callback refused) override {
        {
            const lock_guard hold(mutex_);
            requests_.push_back(request);
        }
        for (std::size_t i = 0; i < addresses_.size(); ++i) {
            const auto name = "u" + std::to_string(i);
            if (std::ranges::find(request.excluded, name) == request.excluded.end()) {
                found(std::make_unique<target>(*this, name, addresses_[i]));
                return;
            }
        }
        refused({.status = 503, .reason = "no upstream is left", .is_retry_useful = false});
    }

private:
    class target final : public attempt_target {
    public:
        target(fixed_router& owner, std::string name, std::string address)
            : owner_(owner), name_(std::move(name)), address_(std::move(address)) {}
        [[nodiscard]] const std::string& upstream() const override { return name_; }
        [[nodiscard]] const std::string& address() const override { return address_; }
        bool may_send(const connection_info& /*it*/) override { return true; }
        void report_load(std::string_view /*header*/) override {}
        void finish(const attempt_result& result) override {
            const lock_guard hold(owner_.mutex_);
            owner_.ends_.push_back(result.end);
        }

    private:
        fixed_router& owner_;
        std::string name_;
        std::string address_;
    };

    const std::vector<std::string> addresses_;
    mutex mutex_;
    std::vector<attempt_request> requests_ ABSL_GUARDED_BY(mutex_);
    std::vector<attempt_end> ends_ ABSL_GUARDED_BY(mutex_);
};

} // namespace berylcrank::testing
