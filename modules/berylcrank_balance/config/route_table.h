#pragma once

#include "modules/berylcrank_balance/config/deployment_config.h"

#include <absl/container/flat_hash_map.h>
#include <memory>
#include <string_view>

namespace berylcrank {

/** The active configuration, indexed by host and path. Its version only increases within one process.

    @see deployment_config
*/
class route_table {
public:
    /** Activates `config` if its version is higher than the active one; returns whether it did. */
    bool apply(deployment_config config);

    /** Returns whether a configuration is active. */
    [[nodiscard]] bool ready() const { return config_ != nullptr; }

    /** Returns the active version; 0 before the first configuration. */
    [[nodiscard]] std::uint64_t version() const { return config_ ? config_->version : 0; }

    /** Returns the route of `host` with the longest matching prefix of `path`; null if none matches. The
        pointer shares ownership of the configuration, so it stays valid when a new version is activated. */
    [[nodiscard]] std::shared_ptr<const route_entry> find(std::string_view host, std::string_view path) const;

    /** Returns the settings of a service in the active configuration; null if it has none of that name. */
    [[nodiscard]] const service_settings* service(std::string_view name) const;

    /** Returns all services of the active configuration by name. */
    [[nodiscard]] const absl::flat_hash_map<std::string, const service_settings*>& services() const {
        return services_;
    }

    /** Returns the limits of the active configuration; the defaults before the first. */
    [[nodiscard]] const ingress_limits& limits() const;

private:
    std::shared_ptr<const deployment_config> config_;
    absl::flat_hash_map<std::string, std::vector<const route_entry*>> by_host_; // longest prefix first
    absl::flat_hash_map<std::string, const service_settings*> services_;
};

} // namespace berylcrank
