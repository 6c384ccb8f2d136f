#pragma once

#include "modules/berylcrank_config/state/config_view.h"
#include "modules/berylcrank_config/state/state_content.h"

#include <map>
#include <set>
#include <span>
#include <string>

namespace berylcrank {

/** Derives a view from a state and the previous view. The cost depends on the number of changed objects and
    the size of their services, not on the size of the state.

    @see config_view
*/
class view_builder {
public:
    /** Returns the view of `content`, which differs from `previous` in the objects `changed`. */
    static config_view_ptr next(const config_view& previous, const state_content& content,
                                std::span<const object_key> changed, std::uint64_t applied);

private:
    view_builder(const config_view& previous, const state_content& content);

    void change_service(const std::string& name);
    void change_failure_domain(const std::string& name);
    void change_upstream(const std::string& name);
    void rebuild_services();

    const state_content& content_;
    const config_view& previous_;
    cow_map<service_view>::editor services_;
    cow_map<failure_domain_config>::editor failure_domains_;
    cow_map<upstream_config>::editor upstreams_;
    /** Names of changed upstreams. */
    std::set<std::string_view> changed_upstreams_;
    /** Services to rebuild, each with its new or changed upstreams. */
    std::map<std::string, std::vector<upstream_ptr>, std::less<>> services_to_rebuild_;
};

} // namespace berylcrank
