#pragma once

#include "modules/berylcrank_config/state/cow_map.h"
#include "modules/berylcrank_config/state/group_holders.h"
#include "modules/berylcrank_config/state/object_entry.h"

#include <memory>
#include <span>
#include <string_view>
#include <vector>

namespace berylcrank {

/** A service with its upstreams, sorted by name. @see config_view */
struct service_view {
    service_ptr config; ///< Null only if a gap in the log hides a service that upstreams reference.
    std::vector<upstream_ptr> upstreams;
};

/** The configuration at one log offset. Immutable and thread-safe.

    @see config_state, view_builder
*/
class config_view {
public:
    /** The service and its upstreams; null if it does not exist. */
    [[nodiscard]] const service_view* find_service(std::string_view name) const {
        const auto* found = services_.find(name);
        return found == nullptr || (*found)->config == nullptr ? nullptr : found->get();
    }

    /** Upstreams of a service, sorted by name; empty if it does not exist. */
    [[nodiscard]] std::span<const upstream_ptr> upstreams_of(std::string_view service) const {
        const auto* found = find_service(service);
        return found == nullptr ? std::span<const upstream_ptr>{} : found->upstreams;
    }

    /** An upstream; null if it does not exist. */
    [[nodiscard]] const upstream_config* find_upstream(std::string_view name) const {
        const auto* found = upstreams_.find(name);
        return found == nullptr ? nullptr : found->get();
    }

    /** A failure domain; null if it does not exist. */
    [[nodiscard]] const failure_domain_config* find_failure_domain(std::string_view name) const {
        const auto* found = failure_domains_.find(name);
        return found == nullptr ? nullptr : found->get();
    }

    /** True if the failure domain exists and is in use. */
    [[nodiscard]] bool is_in_use(std::string_view failure_domain) const {
        const auto* found = find_failure_domain(failure_domain);
        return found != nullptr && found->in_use;
    }

    /** Calls `visit(const service_view&)` for each service, in unspecified order. */
    template <typename Visitor>
    void for_each_service(const Visitor& visit) const {
        services_.for_each([&](const auto& service) {
            if (service->config != nullptr) {
                visit(*service);
            }
        });
    }

    /** Calls `visit(const failure_domain_config&)` for each failure domain, in unspecified order. */
    template <typename Visitor>
    void for_each_failure_domain(const Visitor& visit) const {
        failure_domains_.for_each([&](const auto& domain) { visit(*domain); });
    }

    /** Holder of an admission group. @see group_of */
    [[nodiscard]] const group_holder& holder_of(std::size_t group) const { return holders_.of(group); }

    [[nodiscard]] std::size_t upstream_count() const { return upstreams_.size(); }

    /** One past the last included log offset; 0 if no record is included. */
    [[nodiscard]] std::uint64_t applied() const { return applied_; }

    /** Digest of the configuration; equal for equal configurations. */
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
