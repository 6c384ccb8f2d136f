#pragma once

#include "modules/berylcrank_core/time/millis.h"

#include <cstddef>

namespace berylcrank {

/** What a node knows when it decides whether to enter itself in the store's list of nodes. */
struct registration_inputs {
    millis since_start;
    double store_writes_per_second{0}; ///< Quota of the store for all nodes; 0 if unknown.
    bool has_seeds{false};             ///< The settings name other nodes.
    bool is_seed{false};               ///< The settings of the deployment name this node as a seed.
    bool heard_peer{false};            ///< Another node has been heard.
    std::size_t live_registered{0};    ///< Other live nodes in the list.
    std::size_t rank{0};               ///< Rank among the live nodes that are not in the list.
};

/** Number of live nodes that the store's list of nodes should contain. */
inline constexpr std::size_t min_registered_nodes = 3;
/** Quota of writes above which the store serves a deployment of several hundred nodes. */
inline constexpr double large_deployment_writes = 2000;
/** Time without any message after which a node of such a deployment stops waiting for the seeds. */
inline constexpr millis seed_timeout{700};
/** Time after its start in which a node does not judge how many registered nodes are live. */
inline constexpr millis registration_settle_time{3000};

/** Returns whether the store's quota of writes is that of a deployment of several hundred nodes. */
constexpr bool is_large_deployment(double store_writes_per_second) {
    return store_writes_per_second > large_deployment_writes;
}

/** Returns whether a node enters itself in the store's list of nodes.

    The list lets a node that starts find the others when its seeds are down or start later. In a small
    deployment every node enters itself, since an early start is worth more than a few calls to the store. In
    a large one a few live entries are enough: with one per node, a start of all nodes would cost as many
    writes, and each node would read a list whose length grows with the deployment.
*/
bool should_register(const registration_inputs& in);

} // namespace berylcrank
