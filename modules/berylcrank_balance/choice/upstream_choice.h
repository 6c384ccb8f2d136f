#pragma once

#include "modules/berylcrank_balance/admission/slot_shares.h"
#include "modules/berylcrank_balance/catalog/upstream_directory.h"
#include "modules/berylcrank_balance/load/load_tracker.h"
#include "modules/berylcrank_core/random/random_source.h"

#include <functional>
#include <span>
#include <string_view>

namespace berylcrank {

/** Weights of the choice. One unit is the time that a request takes at an idle upstream of usual slowness. */
struct choice_options {
    std::string failure_domain;     ///< Where this node is.
    double other_domain_cost{0.25}; ///< Added for an upstream in another failure domain.
    double transfer_cost{0.04};     ///< Added besides for each KiB that the request moves there.
    double most_transfer_cost{2.2}; ///< Largest cost of the kind above.
    double fill_cost{0.15};         ///< Added in proportion to the slots that are taken.
    double knee_share{0.8};         ///< Share of the slots from which upstreams slow down.
    double knee_cost{0.7};          ///< Added past the knee.
    double untried_factor{0.4};     ///< On the cost of an upstream that no node has used yet.
    double jitter{0.12};            ///< Spread of the costs, so that nodes do not all pick the same upstream.
    /** While no upstream of a service has less than this share of its slots filled, requests wait: an
       upstream that slows down by 1.7 past the knee ends fewer requests a second with one slot more. */
    double slot_share{0.8};
    /** Cost, in units of the usual slowness, from which upstreams of other cells are looked at too. */
    double spill_cost{1.4};
};

/** The upstream for a request and what decided it. */
struct upstream_pick {
    upstream_ptr it; ///< Null if none has room.
    double cost{0};
    double next_best_cost{0}; ///< Cost of the next best; 0 if there was none.
    int in_flight{0};
    millis report_age;
    bool any_usable{false}; ///< Whether the service has an upstream that may receive requests at all.
};

/** Whether a cold upstream may receive a request from this node now. */
using cold_check = std::function<bool(const upstream&)>;

/** Also upstreams that never reported their load. */
inline constexpr millis any_report_age{INT32_MAX};

/** What is to be sent, and to which upstreams it may go. */
struct choice_request {
    std::span<const upstream_ptr> candidates; ///< Upstreams of the service that this node uses.
    std::span<const std::uint32_t> tried;     ///< Numbers of upstreams that the request already reached.
    double transfer_bytes{0};                 ///< Expected size of the request and its response.
    cold_check cold_allowed;
    /** Slots of each upstream that this node may fill; set while requests wait for the service. */
    const slot_shares::share_map* shares{nullptr};
    double borrow_probability{0}; ///< With which a free slot outside the share is taken if most are free.
    /** Upstreams whose last report is older are passed over. */
    millis max_report_age{any_report_age};
    /** The request goes nowhere where it would be late: slowness times `duration` must be within
       `target_left`. */
    bool in_time_only{false};
    millis target_left;
    millis duration; ///< Of such requests at an upstream of slowness 1.
};

/** Picks the upstream at which a request is expected to end soonest.

    @see load_tracker, upstream_directory
*/
upstream_pick choose_upstream(const upstream_directory& directory, load_tracker& loads,
                              const choice_request& request, const choice_options& options,
                              random_source& random, instant now);

/** Cost of moving that many bytes to and from an upstream in another failure domain. */
double domain_cost(double bytes, const choice_options& options);

/** Slots of an upstream that requests may fill; at least 1. */
int usable_slots(int slots, const choice_options& options);

/** Expected duration at an upstream that has `in_flight` requests, in the units of `choice_options`. */
double expected_cost(int in_flight, int slots, double slowness, const choice_options& options);

} // namespace berylcrank
