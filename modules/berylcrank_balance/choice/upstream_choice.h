#pragma once

#include "modules/berylcrank_balance/admission/slot_shares.h"
#include "modules/berylcrank_balance/catalog/upstream_directory.h"
#include "modules/berylcrank_balance/load/load_tracker.h"
#include "modules/berylcrank_core/random/random_source.h"

#include <functional>
#include <span>
#include <string_view>

namespace berylcrank {

/** Weights of the upstream selection. A cost of 1 is the duration of a request at an idle upstream of
    slowness 1. */
struct choice_options {
    std::string failure_domain;     ///< Failure domain of this node.
    double other_domain_cost{0.25}; ///< Added for an upstream in another failure domain.
    double transfer_cost{0.04};     ///< Added in that case per KiB transferred.
    double max_transfer_cost{2.2};  ///< Upper bound of the total transfer cost.
    double fill_cost{0.15};         ///< Added in proportion to the share of slots in use.
    double knee_share{0.8};         ///< Slot utilization above which upstreams slow down (knee).
    double knee_cost{0.7};          ///< Added above the knee.
    double untried_factor{0.4};     ///< Factor on the cost of an upstream that no node has used yet.
    double jitter{0.12}; ///< Random spread of costs, so that nodes do not all pick the same upstream.
    /** Requests are queued while all upstreams of a service have at least this share of their slots in use.
        An upstream that slows down by a factor of 1.7 above the knee completes fewer requests per second with
        one more slot in use. */
    double slot_share{0.8};
    /** Cost, as a multiple of the mean slowness, above which upstreams of other cells are considered too. */
    double spill_cost{1.4};
};

/** The upstream selected for a request and the values that decided the selection. */
struct upstream_pick {
    upstream_ptr it; ///< Null if no upstream has a free slot.
    double cost{0};
    double next_best_cost{0}; ///< Cost of the second-best upstream; 0 if there is none.
    int in_flight{0};
    millis report_age;      ///< Age of the upstream's last load report; -1 if there is none.
    bool any_usable{false}; ///< Whether any untried candidate may receive requests, regardless of its load.
};

/** Returns whether a cold upstream may receive a request from this node now. */
using cold_check = std::function<bool(const upstream&)>;

/** Value of `max_report_age` that also admits upstreams that never reported their load. */
inline constexpr millis any_report_age{INT32_MAX};

/** Inputs of the selection of an upstream for one request. */
struct choice_request {
    std::span<const upstream_ptr> candidates; ///< Upstreams of the service that this node uses.
    std::span<const std::uint32_t> tried;     ///< Numbers of upstreams that earlier attempts used.
    double transfer_bytes{0};                 ///< Expected bytes of the request and its response.
    cold_check cold_allowed;                  ///< Called only for cold upstreams.
    /** Slots of each upstream that this node may use; set while requests are queued for the service. */
    const slot_shares::share_map* shares{nullptr};
    double borrow_probability{0}; ///< Probability of using a free slot outside the share.
    /** Upstreams whose last load report is older are skipped. */
    millis max_report_age{any_report_age};
    /** Skips upstreams where the request would be late: slowness times `duration` must not exceed
        `target_left`. */
    bool in_time_only{false};
    millis target_left; ///< Time left to meet the latency target.
    millis duration;    ///< Median duration of such requests at an upstream of slowness 1.
};

/** Selects the upstream with the lowest cost: the expected duration of the request plus penalties. Selects
    none if no eligible upstream has a free slot below the knee.

    @see load_tracker, upstream_directory
*/
upstream_pick choose_upstream(const upstream_directory& directory, load_tracker& loads,
                              const choice_request& request, const choice_options& options,
                              random_source& random, instant now);

/** Cost of transferring that many bytes to and from an upstream in another failure domain. */
double cross_domain_cost(double bytes, const choice_options& options);

/** Number of slots of an upstream that requests may use according to `slot_share`; at least 1. */
int usable_slots(int slots, const choice_options& options);

/** Expected duration at an upstream with `in_flight` requests, in the unit of `choice_options`. */
double expected_cost(int in_flight, int slots, double slowness, const choice_options& options);

} // namespace berylcrank
