#include "modules/berylcrank_balance/peers/registration_policy.h"

namespace berylcrank {

bool should_register(const registration_inputs& in) {
    if (in.is_seed || !in.has_seeds || !is_large_deployment(in.store_writes_per_second)) {
        return true;
    }
    if (!in.heard_peer) {
        return in.since_start >= seed_timeout;
    }
    return in.since_start >= registration_settle_time && in.live_registered < min_registered_nodes &&
           in.rank < min_registered_nodes - in.live_registered;
}

} // namespace berylcrank
