#pragma once

#include "bench/policy/event_queue.h"
#include "modules/berylcrank_core/random/random_source.h"
#include "modules/berylcrank_routing/policy/candidate_view.h"

#include <deque>
#include <optional>
#include <vector>

namespace berylcrank::bench {

/** Outcome of a request at a fake upstream. */
enum class upstream_outcome : std::uint8_t { success, error, shed, refused, lost };

/** A simulated upstream with a number of slots and a FIFO queue. */
class fake_upstream {
public:
    using completion_callback = std::function<void(upstream_outcome, std::optional<load_report>)>;

    struct behaviour {
        double slowdown{1};              ///< Factor by which service times are multiplied.
        bool fails_fast{false};          ///< Responds with an error after 0.1 ms.
        double error_rate{0};            ///< Share of requests that get an error after the full service time.
        bool is_down{false};             ///< Refuses connections; all requests in flight are lost.
        bool reports_no_load{false};     ///< Reports 0 requests in flight.
        millis report_age{0};            ///< Age of the reported load, at most 1 s.
        std::uint32_t shed_threshold{0}; ///< Sheds requests while at least this many are queued; 0: never.
    };

    fake_upstream(event_queue& events, std::uint32_t slots, std::uint64_t seed)
        : events_(events), slots_(slots), random_(seed) {}

    /** Submits a request with the given service time.
        @param callback Called when the request ends, unless it is cancelled. If the request is refused or
            shed, the call comes before `submit` returns.
        @return The number to pass to `cancel`. */
    std::uint64_t submit(double service_ms, completion_callback callback);

    /** Cancels a queued or running request; its callback is not called. Has no effect on a request that fails
        fast. */
    void cancel(std::uint64_t number);

    /** Changes the behaviour. Running requests continue at the new speed. If `next.is_down` is set,
        all requests in flight are lost. */
    void set(const behaviour& next);

    [[nodiscard]] const behaviour& get() const { return behaviour_; }

    /** Returns the load report: the number of running and queued requests, unless the behaviour changes
        it. */
    [[nodiscard]] load_report report() const;

private:
    struct job {
        std::uint64_t number;
        double remaining_ms;
        instant updated_at;    ///< Time at which `remaining_ms` was computed.
        std::uint64_t version; ///< Changes when the request is rescheduled.
        completion_callback callback;
    };

    void start(job request);
    void schedule(const job& request);
    void finish(std::uint64_t number, std::uint64_t version);
    void start_queued();
    void record_load();

    event_queue& events_;
    std::uint32_t slots_;
    seeded_random random_;
    behaviour behaviour_;
    std::deque<job> queue_;
    std::vector<job> running_;
    std::deque<std::pair<instant, std::uint32_t>> history_; ///< Load after each change, oldest first.
    std::uint64_t last_number_{0};
    std::uint64_t last_version_{0};
};

} // namespace berylcrank::bench
