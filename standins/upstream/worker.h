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

/** Counters of a worker; `GET /executions` returns them under these names. */
struct worker_counters {
    std::uint64_t received{0};
    std::uint64_t executed{0};  ///< Started in a slot.
    std::uint64_t completed{0}; ///< Ran to completion.
    std::uint64_t shed{0};      ///< Responded to with `not-run`.
    std::uint64_t failed_fast{0};
    std::uint64_t expired{0};           ///< Deadline passed in the queue.
    std::uint64_t expired_running{0};   ///< Stopped at the deadline while running.
    std::uint64_t cancelled_waiting{0}; ///< Client disconnected while the request was queued.
    std::uint64_t cancelled_running{0}; ///< Client disconnected while the request was running.
    std::uint64_t max_in_flight{0};
    std::uint64_t cold_violations{0}; ///< Requests above `cold_concurrency` on a cold worker.
    std::uint64_t received_in_drain{0};
    std::uint64_t probes{0};
    std::uint64_t faults{0};
    std::uint64_t repeated{0}; ///< Executions of a key that had run before.
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(worker_counters, received, executed, completed, shed, failed_fast, expired,
                                   expired_running, cancelled_waiting, cancelled_running, max_in_flight,
                                   cold_violations, received_in_drain, probes, faults, repeated)

/** Result of a request. @see worker::submit */
enum class job_outcome : std::uint8_t {
    completed,
    shed,    ///< Was not started.
    expired, ///< Was stopped at its deadline while running.
    failed_fast,
};

/** Key under which executions are counted. @see worker::submit */
struct work_key {
    std::string text;
    bool is_caller_chosen{false}; ///< True for an `Idempotency-Key`. A request id differs for every attempt.
};

/** A simulated worker with slots and a queue. It can be cold, draining, slow or failing. */
class worker {
public:
    using completion_callback = std::function<void(job_outcome)>;

    worker(const worker_settings& it, std::uint64_t incarnation);

    /** Queues or runs a request and counts its execution under `key`. Calls `on_complete` unless the client
        disconnects first. */
    void submit(const std::shared_ptr<http_exchange>& exchange, work_key key,
                completion_callback on_complete);

    /** Returns the value of the `Berylcrank-Load` header. */
    std::string load_report();

    [[nodiscard]] worker_settings settings();
    void set_settings(const worker_settings& it);

    /** Makes the worker cold again; with `is_restart` it also gets a new incarnation. */
    void reset_to_cold(bool is_restart);

    /** Returns the fault for a response on `path`, or an empty string. Decrements `fault_count`. */
    std::string consume_fault(std::string_view path);

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

    std::optional<job_outcome> admit(const std::shared_ptr<job>& it) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void run(const std::shared_ptr<job>& it);
    void count_execution(const work_key& key) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void complete(const std::shared_ptr<job>& it, job_outcome outcome);
    void cancel(const std::shared_ptr<job>& it);
    std::shared_ptr<job> next_job(std::vector<std::shared_ptr<job>>& expired)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void start_next();
    millis draw_service_time() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void record_sample() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    [[nodiscard]] bool is_cold() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    [[nodiscard]] std::uint64_t total_in_flight() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    [[nodiscard]] sample current_sample() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

    mutex mutex_;
    worker_settings settings_ ABSL_GUARDED_BY(mutex_);
    std::uint64_t incarnation_ ABSL_GUARDED_BY(mutex_);
    std::unique_ptr<seeded_random> random_ ABSL_GUARDED_BY(mutex_);
    worker_counters counters_ ABSL_GUARDED_BY(mutex_);
    std::uint64_t running_ ABSL_GUARDED_BY(mutex_){0};
    std::uint64_t completed_since_cold_ ABSL_GUARDED_BY(mutex_){0};
    std::deque<std::shared_ptr<job>> waiting_ ABSL_GUARDED_BY(mutex_);
    std::deque<sample> history_ ABSL_GUARDED_BY(mutex_);
    absl::flat_hash_map<std::string, std::uint64_t> executions_ ABSL_GUARDED_BY(mutex_);
    timer_thread timers_; // Declared last, so that its thread stops before the other members are destroyed.
};

} // namespace berylcrank::standins
