#include "modules/berylcrank_routing/probe/probe_budget.h"

#include <algorithm>

namespace berylcrank {

probe_budget::probe_budget(const options& opts, random_source& random, instant now)
    : options_(opts), last_start_(now) {
    next_start_ = now + interval(options_.cost) * (1.0 + random.unit());
}

millis probe_budget::interval(millis cost) const {
    if (options_.percent <= 0) {
        return instant::never().since_start();
    }
    // Rounded up, because the budget is a hard limit and a duration is truncated to whole microseconds.
    return cost * (100.0 / options_.percent * std::max(1U, options_.max_nodes)) + millis::from_micros(1);
}

bool probe_budget::try_start(instant now) {
    if (!is_due(now)) {
        return false;
    }
    is_running_ = true;
    last_start_ = now;
    next_start_ = now + interval(options_.cost);
    charged_ += options_.cost;
    return true;
}

void probe_budget::on_done(millis duration) {
    is_running_ = false;
    if (duration > options_.cost) {
        next_start_ = last_start_ + interval(duration);
        charged_ += duration - options_.cost;
    }
}

void probe_budget::set_percent(double percent, instant now) {
    if (percent == options_.percent) {
        return;
    }
    options_.percent = percent;
    next_start_ =
        std::max(next_start_ >= instant::never() ? now : next_start_, now + interval(options_.cost));
}

} // namespace berylcrank
