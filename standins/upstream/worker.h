#pragma once

#include "modules/berylcrank_core/random/random_source.h"
#include "modules/berylcrank_core/sync/mutex.h"
#include "modules/berylcrank_http/server/http_exchange.h"
#include "standins/common/timer_thread.h"
#include "standins/upstream/worker_settings.h"

#include "absl/container/flat_hash_map.h"

#include <chrono>
#include <deque>
#include <functional>
#include <memory>
#include <optional>

namespace berylcrank::standins {

/** Totals of a worker, read by `GET /executions`. */
struct worker_counters {
    std::uint64_t received{0};
    std::uint64_t executed{0};  ///< Took a slot.
    std::uint64_t completed{0}; ///< Ran to their end.
    std::uint64_t shed{0};      ///< Answered with `not-run`.
    std::uint64_t failed_fast{0};
    std::uint64_t expired{0};           ///< Deadline passed while waiting for a slot.
    std::uint64_t expired_running{0};   ///< Ended at the deadline while running.
    std::uint64_t cancelled_waiting{0}; ///< Connection lost while waiting for a slot.
    std::uint64_t cancelled_running{0}; ///< Connection lost while running.
    std::uint64_t max_in_flight{0};
    std::uint64_t cold_violations{0}; ///< Requests beyond what a cold worker bears.
    std::uint64_t received_in_drain{0};
    std::uint64_t probes{0};
    std::uint64_t faults{0};
    std::uint64_t repeated{0}; ///< Executions beyond the first of their key.
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(worker_counters, received, executed, completed, shed, failed_fast, expired,
                                   expired_running, cancelled_waiting, cancelled_running, max_in_flight,
                                   cold_violations, received_in_drain, probes, faults, repeated)

/** What becomes of a request. @see worker::submit */
enum class job_end : std::uint8_t {
    completed,
    shed,    ///< Did not run.
    expired, ///< Ended at its deadline while running.
    failed_fast,
};

/** What executions are counted under. @see worker::submit */
struct work_key {
    std::string text;
    bool is_caller_chosen{false}; ///< An `Idempotency-Key`; request ids differ with every attempt.
};

/** A worker with slots and an internal queue, which can be cold, draining, slow or failing. */
class worker {
public:
    using on_end = std::function<void(job_end)>;

    worker(const worker_settings& it, std::uint64_t incarnation);

    /** Runs a request that is counted under `key`; `end` is called unless the request is cancelled. */
    void submit(const std::shared_ptr<http_exchange>& exchange, work_key key, on_end end);

    /** Value of the `Berylcrank-Load` header. */
    std::string load_report();

    [[nodiscard]] worker_settings settings();
    void set_settings(const worker_settings& it);

    /** Becomes cold again, without or with a new incarnation. */
    void cool(bool is_restart);

    /** Takes the configured fault for an answer on `path`; empty if there is none. */
    std::string take_fault(std::string_view path);

    void count_probe();
    [[nodiscard]] worker_counters counters();
    [[nodiscard]] std::uint64_t executions(const std::string& key);
    [[nodiscard]] std::uint64_t in_flight();
    [[nodiscard]] nlohmann::json all_executions();

    timer_thread& timers() { return timers_; }

private:
    using steady = std::chrono::steady_clock;
    struct job;
    struct sample {
        steady::time_point at;
        std::uint64_t in_flight{0};
        std::string state;
    };

    std::optional<job_end> admit(const std::shared_ptr<job>& it) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void run(const std::shared_ptr<job>& it);
    void count_execution(const work_key& key) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void complete(const std::shared_ptr<job>& it, job_end end);
    void cancel(const std::shared_ptr<job>& it);
    std::shared_ptr<job> next_job(std::vector<std::shared_ptr<job>>& expired)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void run_next();
    millis draw_service() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void note_change() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    [[nodiscard]] bool is_cold() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    [[nodiscard]] std::uint64_t held() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    [[nodiscard]] sample current() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

    mutex mutex_;
    worker_settings settings_ ABSL_GUARDED_BY(mutex_);
    std::uint64_t incarnation_ ABSL_GUARDED_BY(mutex_);
    std::unique_ptr<seeded_random> random_ ABSL_GUARDED_BY(mutex_);
    worker_counters counters_ ABSL_GUARDED_BY(mutex_);
    std::uint64_t running_ ABSL_GUARDED_BY(mutex_){0};
    std::uint64_t served_since_cold_ ABSL_GUARDED_BY(mutex_){0};
    std::deque<std::shared_ptr<job>> waiting_ ABSL_GUARDED_BY(mutex_);
    std::deque<sample> history_ ABSL_GUARDED_BY(mutex_);
    absl::flat_hash_map<std::string, std::uint64_t> executions_ ABSL_GUARDED_BY(mutex_);
    timer_thread timers_; // Last, so that its thread ends first.
};

} // namespace berylcrank::standins
