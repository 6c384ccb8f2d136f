#pragma once

#include "modules/berylcrank_core/random/random_source.h"
#include "modules/berylcrank_routing/policy/candidate_view.h"

#include <cstddef>
#include <memory>
#include <span>
#include <string_view>

namespace berylcrank {

/** Chooses an upstream for a request. Each service router has its own instance and calls it under its lock.

    `upstream_stats` keeps the measurements of an upstream and passes them to `choose` as a view. Policies
    with additional state update it in the `on_` methods.
    @see make_policy, service_router
*/
class upstream_policy {
public:
    upstream_policy() = default;
    upstream_policy(const upstream_policy&) = delete;
    upstream_policy& operator=(const upstream_policy&) = delete;
    virtual ~upstream_policy() = default;

    /** Returns an index into `candidates`, which is not empty and contains only eligible upstreams. */
    virtual std::size_t choose(std::span<const candidate_view> candidates, random_source& random) = 0;

    /** Called when a request is sent to the upstream `id`. */
    virtual void on_dispatch(std::uint32_t /*id*/, instant /*now*/) {}

    /** Called for a complete, successful response after `latency`. */
    virtual void on_response(std::uint32_t /*id*/, millis /*latency*/, instant /*now*/) {}

    /** Called when the upstream sheds a request. */
    virtual void on_shed(std::uint32_t /*id*/, instant /*now*/) {}

    /** Called when an attempt fails in any other way. */
    virtual void on_failure(std::uint32_t /*id*/, instant /*now*/) {}
};

/** Load balancing policies. @see make_policy */
enum class policy_kind : std::uint8_t {
    estimated_load, ///< The default. @see estimated_load_policy
    random,
    round_robin,
    least_in_flight,
    power_of_two,          ///< Of two random upstreams, the one with fewer requests of this node.
    power_of_two_reported, ///< Of two random upstreams, the one with the lower reported load.
};

/** Name of a policy in the tables of the benchmark. */
std::string_view to_string(policy_kind kind);

/** Creates a policy. */
std::unique_ptr<upstream_policy> make_policy(policy_kind kind);

} // namespace berylcrank
