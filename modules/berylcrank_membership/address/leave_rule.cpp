#include "modules/berylcrank_membership/address/leave_rule.h"

namespace berylcrank {

void leave_rule::start(instant now) {
    if (!started_) {
        started_ = now;
    }
}

bool leave_rule::may_exit(std::size_t untold, std::size_t in_flight, instant now) {
    if (!started_) {
        return false;
    }
    if (!told_ && (untold == 0 || now - *started_ >= options_.tell_limit)) {
        told_ = now;
    }
    if (in_flight > 0) {
        idle_since_.reset();
    } else if (!idle_since_) {
        idle_since_ = now;
    }
    return told_ && now - *told_ >= options_.keep && idle_since_ && now - *idle_since_ >= options_.idle;
}

} // namespace berylcrank
