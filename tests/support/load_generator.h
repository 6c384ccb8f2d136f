#pragma once

#include "modules/berylcrank_core/sync/mutex.h"
#include "tests/support/test_caller.h"

#include <atomic>
#include <map>
#include <string>
#include <thread>
#include <vector>

namespace berylcrank::testing {

/** The results of all requests of a load generator. */
struct load_result {
    struct order {
        std::string id;

        /** Verdict of each attempt; "not-sent" if the connection was refused, "none" without a verdict. */
        std::vector<std::string> verdicts;

        bool is_response_correct{true}; ///< Each `ran` response with status 200 echoed this order's body.
    };
    std::vector<order> orders;
    int lookups{0};
    int lookups_failed{0}; ///< Without a complete response of status 200.
    int downloads{0};
    int downloads_failed{0};
    int wrong_responses{0}; ///< Responses to another request or with wrong content.
    std::string failures;   ///< Descriptions of the first failures, one per line.

    /** Returns the number of orders whose last verdict is `verdict`. */
    [[nodiscard]] int orders_ending(const std::string& verdict) const;
};

/** Generates load with several concurrent callers, which follow docs/interfaces.md. They cache address
    responses, use the next address when a connection is refused, send an order first to the home node of its
    id prefix, and retry it with the same id if its outcome is unknown. */
class load_generator {
public:
    struct options {
        std::vector<std::string> nodes; ///< Addresses to use for the first `/address` request.
        std::string order_service;      ///< Empty: no orders. The same holds for the other services.
        std::string lookup_service;
        std::string download_service;
        int threads{4};
        int pause_ms{2}; ///< Pause between two requests of a thread.
        std::size_t download_bytes{400000};
        long timeout_ms{4000};
    };

    explicit load_generator(options opts);

    /** Stops the load if `stop` was not called. */
    ~load_generator();
    load_generator(const load_generator&) = delete;
    load_generator& operator=(const load_generator&) = delete;

    /** Number of requests that have ended so far. */
    [[nodiscard]] int completed() const { return completed_.load(); }

    /** Waits until `n` more requests have ended. Throws `std::runtime_error` after `timeout_ms`. */
    void wait_for_requests(int n, int timeout_ms = 20000) const;

    /** Stops after the requests in flight and returns the results. */
    load_result stop();

private:
    struct caller;

    void run(int number);

    options options_;
    std::atomic<bool> stopping_{false};
    std::atomic<int> completed_{0};
    mutex mutex_;
    load_result result_ ABSL_GUARDED_BY(mutex_);
    std::vector<std::thread> threads_;
};

} // namespace berylcrank::testing
