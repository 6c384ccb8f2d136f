#pragma once

#include "modules/berylcrank_config/state/cow_map.h"
#include "modules/berylcrank_config/state/group_holders.h"
#include "modules/berylcrank_config/state/object_entry.h"

#include <memory>
#include <span>
#include <string_view>
#include <vector>

namespace berylcrank {

/** A service in force with its upstreams, sorted by name. @see config_view */
struct service_view {
    service_ptr config; ///< Null only if upstreams name a service that a gap in the log hides.
    std::vector<upstream_ptr> upstreams;
};

/** The configuration in force at one offset. Immutable; safe from any thread.

    @see config_state, view_builder
*/
class config_view {
public:
    /** The service and its upstreams; null if it does not exist. */
    [[nodiscard]] const service_view* find_service(std::string_view name) const {
        const auto* it = services_.find(name);
        return it == nullptr || (*it)->config == nullptr ? nullptr : it->get();
    }

    /** Upstreams of a service, sorted by name; empty if it does not exist. */
    [[nodiscard]] std::span<const upstream_ptr> upstreams_of(std::string_view service) const {
        const auto* it = find_service(service);
        return it == nullptr ? std::span<const upstream_ptr>{} : it->upstreams;
    }

    /** An upstream; null if it does not exist. */
    [[nodiscard]] const upstream_config* find_upstream(std::string_view name) const {
        const auto* it = upstreams_.find(name);
        return it == nullptr ? nullptr : it->get();
    }

    /** A failure domain; null if it does not exist. */
    [[nodiscard]] const failure_domain_config* find_failure_domain(std::string_view name) const {
        const auto* it = failure_domains_.find(name);
        return it == nullptr ? nullptr : it->get();
    }

    /** True if the failure domain exists and is in use. */
    [[nodiscard]] bool is_in_use(std::string_view failure_domain) const {
        const auto* it = find_failure_domain(failure_domain);
        return it != nullptr && it->in_use;
    }

    /** Calls `use(const service_view&)` for each service, in no particular order. */
    template <typename Use>
    void for_each_service(const Use& use) const {
        services_.for_each([&](const auto& it) {
            if (it->config != nullptr) {
                use(*it);
            }
        });
    }

    /** Calls `use(const failure_domain_config&)` for each failure domain, in no particular order. */
    template <typename Use>
    void for_each_failure_domain(const Use& use) const {
        failure_domains_.for_each([&](const auto& it) { use(*it); });
    }

    /** Holder of an admission group. @see group_of */
    [[nodiscard]] const group_holder& holder_of(std::size_t group) const { return holders_.of(group); }

    [[nodiscard]] std::size_t upstream_count() const { return upstreams_.size(); }

    /** One past the last log offset that is included; 0: nothing. */
    [[nodiscard]] std::uint64_t applied() const { return applied_; }

    /** Equal for equal configurations. */
    [[nodiscard]] std::uint64_t digest() const { return digest_; }

private:
    friend class view_builder;

    cow_map<service_view> services_;
    cow_map<failure_domain_config> failure_domains_;
    cow_map<upstream_config> upstreams_;
    group_holders holders_;
    std::uint64_t applied_{0};
    std::uint64_t digest_{0};
};

using config_view_ptr = std::shared_ptr<const config_view>;

} // namespace berylcrank
