#pragma once

#include "modules/berylcrank_balance/config/deployment_config.h"

#include <absl/container/flat_hash_map.h>
#include <string>

namespace berylcrank {

/** What requests of a route usually move between a node and an upstream, request and response together.

    Answers the load of large downloads: over the links between failure domains they cost far more than small
   requests, so that they should leave a failure domain only when its upstreams are much slower.
    @see choice_options
*/
class transfer_sizes {
public:
    /** Bytes assumed for a route from which nothing has been answered yet. */
    static constexpr double usual_download = 65536;
    static constexpr double usual_other = 2048;

    /** Counts an answered request. */
    void record(const std::string& route, double bytes) {
        const auto [it, is_new] = held_.try_emplace(route, bytes);
        if (!is_new) {
            it->second += newest_weight * (bytes - it->second);
        }
    }

    /** Bytes that a request of the route is expected to move. */
    [[nodiscard]] double expected(const route_entry& route) const {
        const auto it = held_.find(route.name);
        if (it != held_.end()) {
            return it->second;
        }
        return route.kind == request_kind::download ? usual_download : usual_other;
    }

private:
    static constexpr double newest_weight = 0.05; // sizes of one route spread by a factor of a few

    absl::flat_hash_map<std::string, double> held_;
};

} // namespace berylcrank
