#pragma once

#include "modules/berylcrank_core/random/random_source.h"
#include "modules/berylcrank_routing/policy/candidate_view.h"

#include <cstddef>
#include <memory>
#include <span>
#include <string_view>

namespace berylcrank {

/** Chooses an upstream for a request. One object serves one service at one node, under the router's lock.

    What is known about an upstream is kept by `upstream_stats` and given as a view; the events serve policies
    that need state of their own.
    @see make_policy, service_router
*/
class upstream_policy {
public:
    upstream_policy() = default;
    upstream_policy(const upstream_policy&) = delete;
    upstream_policy& operator=(const upstream_policy&) = delete;
    virtual ~upstream_policy() = default;

    /** Index into `among`, which is not empty and holds eligible upstreams only. */
    virtual std::size_t choose(std::span<const candidate_view> among, random_source& random) = 0;

    /** A request was sent to upstream `id`. */
    virtual void on_dispatch(std::uint32_t /*id*/, instant /*now*/) {}

    /** A whole, good answer came after `latency`. */
    virtual void on_answer(std::uint32_t /*id*/, millis /*latency*/, instant /*now*/) {}

    /** The upstream shed the request. */
    virtual void on_shed(std::uint32_t /*id*/, instant /*now*/) {}

    /** An attempt failed in any other way. */
    virtual void on_failure(std::uint32_t /*id*/, instant /*now*/) {}
};

/** The policies. @see make_policy */
enum class policy_kind : std::uint8_t {
    estimated_load, ///< The policy in use. @see estimated_load_policy
    random,
    round_robin,
    least_in_flight,
    power_of_two,          ///< Two random upstreams, fewer own requests in flight.
    power_of_two_reported, ///< Two random upstreams, lower last reported load.
};

/** Name of a policy, as in the benchmark's tables. */
std::string_view to_string(policy_kind it);

/** Makes a policy. */
std::unique_ptr<upstream_policy> make_policy(policy_kind it);

} // namespace berylcrank
