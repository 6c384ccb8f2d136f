#pragma once

#include "modules/berylcrank_core/sync/mutex.h"
#include "tests/support/test_caller.h"

#include <atomic>
#include <map>
#include <string>
#include <thread>
#include <vector>

namespace berylcrank::testing {

/** What callers of a test saw. */
struct load_result {
    struct order {
        std::string id;
        std::vector<std::string> verdicts; ///< Of each answer; "none" without one.
        bool is_answer_right{true};        ///< Each `ran` answer echoed this order's body.
    };
    std::vector<order> orders;
    int lookups{0};
    int lookups_failed{0}; ///< No whole right answer.
    int downloads{0};
    int downloads_failed{0};
    int wrong_answers{0}; ///< Answers to another request, or with wrong bytes.
    std::string failures; ///< A few of them, one a line, for messages.

    /** Orders whose last verdict is `verdict`. */
    [[nodiscard]] int orders_ending(const std::string& verdict) const;
};

/** Callers that follow docs/interfaces.md: they keep address answers, go to the next address when a
   connection is refused, send an order first to the home of its prefix, and resend it with the same id after
   an unclear end. */
class load_caller {
public:
    struct options {
        std::vector<std::string> nodes; ///< Where to ask for addresses first.
        std::string order_service;      ///< Empty: no orders.
        std::string lookup_service;
        std::string download_service;
        int threads{4};
        int pause_ms{2}; ///< Between two requests of a thread.
        std::size_t download_bytes{400000};
        long timeout_ms{4000};
    };

    explicit load_caller(options it);

    /** Stops if `stop` was not called. */
    ~load_caller();
    load_caller(const load_caller&) = delete;
    load_caller& operator=(const load_caller&) = delete;

    /** Requests ended so far. */
    [[nodiscard]] int done() const { return done_.load(); }

    /** Waits until `n` more requests have ended. */
    void wait_more(int n, int limit_ms = 20000) const;

    /** Ends after the requests in progress and returns what was seen. */
    load_result stop();

private:
    struct worker;

    void run(int number);

    options options_;
    std::atomic<bool> stopping_{false};
    std::atomic<int> done_{0};
    mutex mutex_;
    load_result result_ ABSL_GUARDED_BY(mutex_);
    std::vector<std::thread> threads_;
};

} // namespace berylcrank::testing
