#pragma once

#include "modules/berylcrank_balance/config/deployment_config.h"

#include <absl/container/flat_hash_map.h>
#include <memory>
#include <string_view>

namespace berylcrank {

/** The configuration in force, indexed by host and path. Versions only grow within one process.

    @see deployment_config
*/
class route_table {
public:
    /** Puts `config` in force unless its version is not above the present one; returns whether it did. */
    bool apply(deployment_config config);

    /** True once a configuration is in force. */
    [[nodiscard]] bool ready() const { return config_ != nullptr; }

    /** Version in force; 0 before the first. */
    [[nodiscard]] std::uint64_t version() const { return config_ ? config_->version : 0; }

    /** The route with the longest prefix of `path` among those of `host`; null if none matches. The pointer
        shares ownership of the configuration, which outlives later versions. */
    [[nodiscard]] std::shared_ptr<const route_entry> find(std::string_view host, std::string_view path) const;

    /** The service of that name in the configuration in force; null if it has none. */
    [[nodiscard]] const service_settings* service(std::string_view name) const;

    /** All services of the configuration in force, by name. */
    [[nodiscard]] const absl::flat_hash_map<std::string, const service_settings*>& services() const {
        return services_;
    }

    [[nodiscard]] const ingress_limits& limits() const;

private:
    std::shared_ptr<const deployment_config> config_;
    absl::flat_hash_map<std::string, std::vector<const route_entry*>> by_host_; // longest prefix first
    absl::flat_hash_map<std::string, const service_settings*> services_;
};

} // namespace berylcrank
