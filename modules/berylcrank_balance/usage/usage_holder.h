#pragma once

#include "modules/berylcrank_balance/usage/usage_message.h"
#include "modules/berylcrank_core/time/instant.h"

#include <absl/container/flat_hash_map.h>
#include <algorithm>

namespace berylcrank {

/** Issues tokens from the parts of the accounts' caps that nodes have lent to this node.

    The bucket of an account fills with the lent share of its rate, up to the lent share of its burst. Since a
    part is lent to one holder at a time and its loan ends on the holder's clock, all holders together never
    issue more than the cap, whatever nodes know of each other.
    @see usage_owner, usage_client
*/
class usage_holder {
public:
    /** Time after the stamp that a pledge returns for which the pledge holds. */
    static constexpr millis pledge_lifetime{1500};
    /** Largest number of nodes whose pledges are kept. */
    static constexpr std::size_t max_owners = 8192;
    /** Largest number of accounts of a group with a bucket. Beyond it, the one without requests for the
        longest time is dropped. */
    static constexpr std::size_t max_buckets = 2048;

    /** `run` is the incarnation of this node. */
    usage_holder(std::uint64_t run, usage_tolerance tolerance) : run_(run), tolerance_(tolerance) {}

    /** Handles a pledge of a node, and returns the response to it. A pledge with a stamp of another
        incarnation lends nothing. */
    usage_acknowledgement on_pledge(std::uint64_t owner, std::uint64_t owner_run, const usage_pledge& it,
                                    instant now);

    /** Handles a request for a token. */
    usage_response on_request(const usage_request& it, instant now);

    /** Ends the loans whose time has passed. Call this periodically. */
    void tick(instant now) { expire(now); }

    /** Raises the number of nodes among which the caps are divided. It never decreases, since a node that is
        silent may still use its part. */
    void raise_node_count(std::uint32_t nodes) {
        nodes_ = std::max(nodes_, std::min(nodes, std::uint32_t{max_owners}));
    }
    [[nodiscard]] std::uint32_t node_count() const { return nodes_; }

    /** Returns the share of the caps of a group that is lent to this node, between 0 and 1. */
    [[nodiscard]] double lent_share(std::size_t group) const;

    /** Returns whether other nodes have lent parts to this node. */
    [[nodiscard]] bool holds_for_others() const { return loans_.size() > 1; }

    /** Number of accounts with a bucket. */
    [[nodiscard]] std::size_t bucket_count() const;

private:
    struct loan {
        std::uint64_t owner_run{0};
        std::int64_t stamp{0};
        std::uint64_t share{0}; // of each portion, in units of 1 / share_unit
        std::array<usage_group_set, usage_portion_count> groups{};
        instant end;
    };

    struct bucket {
        usage_limits limits;
        std::uint64_t version{0};
        double level{0};
        instant filled_at;
        double denied{0}; // recent refusals, decaying
        instant denied_at;
    };

    // Times in seconds in which an unused bucket fills.
    static constexpr std::array<double, 5> idle_fill_times{1, 4, 16, 64, 256};

    struct group_state {
        std::uint64_t share{0};
        // Level of a bucket without requests, as a share of its capacity, for each of idle_fill_times.
        std::array<double, idle_fill_times.size()> idle_levels{};
        instant idle_filled_at;
        absl::flat_hash_map<std::uint64_t, bucket> buckets;
    };

    static constexpr std::uint64_t share_unit = std::uint64_t{1} << 40U;

    void expire(instant now);
    [[nodiscard]] bool may_replace(std::uint64_t owner, std::uint64_t owner_run, std::int64_t stamp) const;
    void set_loan(std::uint64_t owner, const loan& it, instant now);
    void change_share(std::size_t group, std::int64_t by, instant now);
    void fill(bucket& it, double share, instant now) const;
    static void fill_idle(group_state& it, instant now);
    [[nodiscard]] double capacity(const bucket& it, double share) const;
    bucket& find_bucket(const usage_request& it, instant now);
    static void drop_idle_bucket(group_state& group);

    std::uint64_t run_;
    usage_tolerance tolerance_;
    std::uint32_t nodes_{1};
    std::array<group_state, usage_group_count> groups_;
    absl::flat_hash_map<std::uint64_t, loan> loans_; // by number of the owner
    instant next_expiry_{instant::never()};          // no loan ends earlier
};

} // namespace berylcrank
