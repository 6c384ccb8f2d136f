#pragma once

#include "bench/policy/event_queue.h"
#include "modules/berylcrank_core/random/random_source.h"
#include "modules/berylcrank_routing/policy/candidate_view.h"

#include <deque>
#include <optional>
#include <vector>

namespace berylcrank::bench {

/** How a fake upstream ended a request. */
enum class upstream_end : std::uint8_t { good, error, shed, refused, lost };

/** An upstream with slots and a FIFO queue. */
class fake_upstream {
public:
    using on_end = std::function<void(upstream_end, std::optional<load_report>)>;

    struct behaviour {
        double slowdown{1};       ///< Factor on service times.
        bool fails_fast{false};   ///< Answers with an error after 0.1 ms.
        double error_rate{0};     ///< Share of answers that are errors after the full service time.
        bool is_down{false};      ///< Refuses connections.
        bool lies{false};         ///< Reports no load.
        millis report_age{0};     ///< Age of the load that it reports.
        std::uint32_t shed_at{0}; ///< Sheds when as many requests are queued; 0: never.
    };

    fake_upstream(event_queue& events, std::uint32_t slots, std::uint64_t seed)
        : events_(events), slots_(slots), random_(seed) {}

    /** A request arrives; returns its number for `cancel`. */
    std::uint64_t arrive(double work_ms, on_end done);

    /** The node has given the request up. */
    void cancel(std::uint64_t number);

    /** Changes the behaviour; running requests go on at the new speed, or are lost if it is down. */
    void set(const behaviour& it);

    [[nodiscard]] const behaviour& get() const { return behaviour_; }

    /** What it reports: requests that it runs or queues. */
    [[nodiscard]] load_report report() const;

private:
    struct job {
        std::uint64_t number;
        double remaining_ms;
        instant since;
        std::uint64_t version;
        on_end done;
    };

    void start(job it);
    void schedule(const job& it);
    void finish(std::uint64_t number, std::uint64_t version);
    void fill();
    void note();

    event_queue& events_;
    std::uint32_t slots_;
    seeded_random random_;
    behaviour behaviour_;
    std::deque<job> queue_;
    std::vector<job> running_;
    std::deque<std::pair<instant, std::uint32_t>> history_; ///< Load since an instant.
    std::uint64_t next_{0};
    std::uint64_t version_{0};
};

} // namespace berylcrank::bench
