#pragma once

#include "modules/berylcrank_core/time/instant.h"

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace berylcrank::bench {

/** Event queue of a discrete-event simulation. Events run in the order of their time; events with the same
    time run in the order in which they were added. */
class event_queue {
public:
    using action = std::function<void()>;

    [[nodiscard]] instant now() const { return now_; }

    /** Runs `work` at `time`. */
    void run_at(instant time, action work) { events_.push({time, ++last_number_, std::move(work)}); }

    /** Runs `work` after `delay`. */
    void run_after(millis delay, action work) { run_at(now_ + delay, std::move(work)); }

    /** Runs all events before `end`, then sets the clock to `end`. */
    void run_until(instant end) {
        while (!events_.empty() && events_.top().time < end) {
            // The comparison ignores the action, so moving it out keeps the heap valid.
            const action current = std::move(const_cast<event&>(events_.top()).run);
            now_ = events_.top().time;
            events_.pop();
            current();
        }
        now_ = end;
    }

private:
    struct event {
        instant time;
        std::uint64_t number;
        action run;

        bool operator<(const event& other) const {
            return time != other.time ? time > other.time : number > other.number;
        }
    };

    std::priority_queue<event> events_;
    instant now_;
    std::uint64_t last_number_{0};
};

} // namespace berylcrank::bench
