#include "modules/berylcrank_membership/address/exit_policy.h"

namespace berylcrank {

void exit_policy::start(instant now) {
    if (!started_) {
        started_ = now;
    }
}

bool exit_policy::may_exit(std::size_t untold, std::size_t in_flight, instant now) {
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
    return told_ && now - *told_ >= options_.address_ttl && idle_since_ &&
           now - *idle_since_ >= options_.idle;
}

} // namespace berylcrank
