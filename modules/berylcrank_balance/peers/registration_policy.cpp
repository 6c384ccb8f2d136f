#include "modules/berylcrank_balance/peers/registration_policy.h"

namespace berylcrank {

bool should_register(const registration_inputs& in) {
    if (in.is_seed || !in.has_seeds) {
        return true;
    }
    if (!in.heard_peer) {
        const bool is_large = in.store_writes_per_second > large_deployment_writes;
        return in.since_start >= (is_large ? large_seed_timeout : seed_timeout);
    }
    return in.since_start >= registration_settle_time && in.live_registered < min_registered_nodes &&
           in.rank < min_registered_nodes - in.live_registered;
}

} // namespace berylcrank
