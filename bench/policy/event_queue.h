#pragma once

#include "modules/berylcrank_core/time/instant.h"

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace berylcrank::bench {

/** Events in the order of their time, and of their addition at equal times. */
class event_queue {
public:
    using action = std::function<void()>;

    [[nodiscard]] instant now() const { return now_; }

    /** Runs `it` at `when`. */
    void at(instant when, action it) { events_.push({when, ++added_, std::move(it)}); }

    /** Runs `it` after `wait`. */
    void after(millis wait, action it) { at(now_ + wait, std::move(it)); }

    /** Runs all events before `end`. */
    void run_until(instant end) {
        while (!events_.empty() && events_.top().when < end) {
            // The comparison does not look at the action, so moving it out keeps the heap valid.
            const action it = std::move(const_cast<event&>(events_.top()).run);
            now_ = events_.top().when;
            events_.pop();
            it();
        }
        now_ = end;
    }

private:
    struct event {
        instant when;
        std::uint64_t number;
        action run;

        bool operator<(const event& other) const {
            return when != other.when ? when > other.when : number > other.number;
        }
    };

    std::priority_queue<event> events_;
    instant now_;
    std::uint64_t added_{0};
};

} // namespace berylcrank::bench
