#pragma once

#include "modules/berylcrank_balance/catalog/upstream_directory.h"
#include "modules/berylcrank_balance/peers/peer_table.h"

#include <absl/container/flat_hash_map.h>
#include <string>
#include <string_view>
#include <vector>

namespace berylcrank {

/** The upstreams that a node uses. In a deployment of one cell these are all; in a larger one those for which
   its cell answers and, where these are too few (an evacuated failure domain, a service with few upstreams),
   others that the nodes of the cell agree on by hashing.

    Answers the size of the deployment: what a node knows, asks and connects to stays the same when it grows.
    @see peer_table
*/
class upstream_subset {
public:
    /** Time for which a subset is kept. */
    static constexpr millis lifetime{100};
    /** Fewest usable upstreams of a service, if it has so many. */
    static constexpr std::size_t fewest = 4;
    /** Share of a cell's fair part of the usable upstreams below which others are taken in. */
    static constexpr double enough = 0.7;

    upstream_subset(const upstream_directory& directory, const peer_table& peers)
        : directory_(directory), peers_(peers) {}

    /** Upstreams of other cells that a cell may use when its own have no room. */
    static constexpr std::size_t spill_size = 12;

    /** The upstreams of a service that this node uses now. */
    const std::vector<upstream_ptr>& of_service(std::string_view service, instant now);

    /** Upstreams of other cells for the load that the own ones do not take; the nodes of a cell agree on
     * them. */
    const std::vector<upstream_ptr>& spill_of_service(std::string_view service, instant now);

    /** Whether this node's cell answers for an upstream: asks it and admits requests while it is cold. */
    [[nodiscard]] bool is_home(const upstream& it) const;

private:
    struct held_subset {
        std::vector<upstream_ptr> members;
        std::vector<upstream_ptr> spill;
        instant until;
    };

    held_subset& current(std::string_view service, instant now);
    void compute(const std::vector<upstream_ptr>& all, held_subset& to) const;

    const upstream_directory& directory_;
    const peer_table& peers_;
    absl::flat_hash_map<std::string, held_subset> held_;
};

} // namespace berylcrank
