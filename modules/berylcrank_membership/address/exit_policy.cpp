#include "modules/berylcrank_membership/address/exit_policy.h"

namespace berylcrank {

void exit_policy::start(instant now) {
    if (!started_at_) {
        started_at_ = now;
    }
}

bool exit_policy::may_exit(std::size_t unnotified, std::size_t in_flight, instant now) {
    if (!started_at_) {
        return false;
    }
    if (!notified_at_ && (unnotified == 0 || now - *started_at_ >= options_.notify_timeout)) {
        notified_at_ = now;
    }
    if (in_flight > 0) {
        idle_since_.reset();
    } else if (!idle_since_) {
        idle_since_ = now;
    }
    return notified_at_ && now - *notified_at_ >= options_.address_ttl && idle_since_ &&
           now - *idle_since_ >= options_.idle;
}

} // namespace berylcrank
