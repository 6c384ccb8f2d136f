#pragma once

#include "modules/berylcrank_balance/config/deployment_config.h"

#include <absl/container/flat_hash_map.h>
#include <string>

namespace berylcrank {

/** Mean number of bytes that a request of a route transfers between a node and an upstream, request and
    response together.

    Large downloads cost far more than small requests on the links between failure domains. They should leave
    a failure domain only if its upstreams are much slower.
    @see choice_options
*/
class transfer_sizes {
public:
    /** Bytes assumed for a download route before its first response. */
    static constexpr double default_download_bytes = 65536;
    /** Bytes assumed for any other route before its first response. */
    static constexpr double default_bytes = 2048;

    /** Adds the transferred bytes of a request that received a response. */
    void record(const std::string& route, double bytes) {
        const auto [it, inserted] = mean_bytes_.try_emplace(route, bytes);
        if (!inserted) {
            it->second += smoothing_factor * (bytes - it->second);
        }
    }

    /** Returns the bytes that a request of the route is expected to transfer. */
    [[nodiscard]] double expected(const route_entry& route) const {
        const auto it = mean_bytes_.find(route.name);
        if (it != mean_bytes_.end()) {
            return it->second;
        }
        return route.kind == request_kind::download ? default_download_bytes : default_bytes;
    }

private:
    static constexpr double smoothing_factor = 0.05; // small, because sizes on one route vary severalfold

    absl::flat_hash_map<std::string, double> mean_bytes_;
};

} // namespace berylcrank
