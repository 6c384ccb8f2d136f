#pragma once

#include "modules/berylcrank_balance/catalog/upstream_directory.h"
#include "modules/berylcrank_balance/peers/peer_table.h"

#include <absl/container/flat_hash_map.h>
#include <string>
#include <string_view>
#include <vector>

namespace berylcrank {

/** The upstreams that a node uses. In a deployment of one cell, these are all upstreams. In a larger one,
    these are the upstreams whose home is the node's cell. If they are too few, because a failure domain is
    evacuated or a service has few upstreams, the nodes of the cell add the same others by rendezvous hashing.

    The number of upstreams that a node tracks, probes and connects to does not grow with the deployment.
    @see peer_table
*/
class upstream_subset {
public:
    /** Time for which a computed subset is cached. */
    static constexpr millis lifetime{100};
    /** Minimum number of upstreams in a subset, if the service has that many usable ones. */
    static constexpr std::size_t min_size = 4;
    /** Others are added below this share of the mean number of usable upstreams per cell. */
    static constexpr double min_fair_share = 0.7;

    upstream_subset(const upstream_directory& directory, const peer_table& peers)
        : directory_(directory), peers_(peers) {}

    /** Number of upstreams of other cells that a cell may use when its own have no free slots. */
    static constexpr std::size_t spill_size = 12;

    /** Returns the upstreams of a service that this node uses now. */
    const std::vector<upstream_ptr>& of_service(std::string_view service, instant now);

    /** Returns the upstreams of other cells that take excess load of this cell; all nodes of a cell use the
        same ones. Empty in a deployment of one cell. */
    const std::vector<upstream_ptr>& spill_of_service(std::string_view service, instant now);

    /** Returns whether this node's cell is the home of an upstream: it probes the upstream and admits
        requests to it while it is cold. */
    [[nodiscard]] bool is_home(const upstream& it) const;

private:
    struct cached_subset {
        std::vector<upstream_ptr> members;
        std::vector<upstream_ptr> spill;
        instant valid_until;
    };

    cached_subset& current(std::string_view service, instant now);
    void compute(const std::vector<upstream_ptr>& all, cached_subset& to) const;

    const upstream_directory& directory_;
    const peer_table& peers_;
    absl::flat_hash_map<std::string, cached_subset> cache_;
};

} // namespace berylcrank
