#pragma once

#include "modules/berylcrank_balance/catalog/upstream_directory.h"

#include <absl/container/flat_hash_map.h>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace berylcrank {

/** What one node tells of a service for which requests wait there. */
struct waiting_count {
    std::uint32_t service{0}; ///< Hash of the service's name.
    int on_time{0};           ///< Waiting requests that can still be answered within their latency target.
    int late{0};              ///< Waiting requests that cannot.
    int per_second{0};        ///< Requests for the service that arrive at the node.

    bool operator==(const waiting_count&) const = default;
};

/** Number by which messages name a service. */
std::uint32_t service_number(std::string_view service);

/** Shares the slots of a service's upstreams among the nodes that have requests waiting for it.

    Answers the load of a burst: every node learns of the same free slot from the same messages, and if all
   take it, the upstream's own queue fills with requests that end late. All nodes compute the same shares from
   what they told each other, in proportion to the requests that arrive at them and in their own failure
   domain where possible. Nodes that disagree take a slot too many or too few until the next message.
    @see wait_queue, choice_request
*/
class slot_shares {
public:
    /** Time for which shares are kept before they are computed anew. */
    static constexpr millis lifetime{10};

    /** Time for which a node counts after it last had a request waiting: queues of a few tens of milliseconds
       empty and fill again all the time. */
    static constexpr millis memory{300};

    /** The same for waiting requests that are on time, for which late ones stand back: a message interval of
       a node with requests waiting, and its way. Longer, and slots stay empty between two messages. */
    static constexpr millis on_time_memory{40};

    /** Looks at a free slot by one node, one each tick, until the others have heard that it was taken. */
    static constexpr double looks_unheard = 3;

    /** Slots of each upstream that this node may fill, by the upstream's number. */
    using share_map = absl::flat_hash_map<std::uint32_t, int>;

    /** `self` is this node's number. */
    slot_shares(std::uint64_t self, std::string failure_domain)
        : self_(self), failure_domain_(std::move(failure_domain)) {}

    /** Takes what a node told of its waiting requests. */
    void update_demand(std::uint64_t node, const std::string& failure_domain,
                       std::span<const waiting_count> counts, instant now);

    /** Forgets a node. */
    void forget(std::uint64_t node);

    /** Chance with which each look at a free slot outside the node's share takes it, so that about one of the
       nodes that see it does before the others hear of that. */
    [[nodiscard]] double borrow_probability(std::uint32_t service, instant now) const;

    /** Whether requests have lately been waiting for the service at another node. */
    [[nodiscard]] bool has_remote_demand(std::uint32_t service, instant now) const;
    /** Whether requests that are on time have lately been waiting for the service at another node. */
    [[nodiscard]] bool has_remote_on_time_demand(std::uint32_t service, instant now) const;
    /** Whether requests have lately been waiting for any service at another node. */
    [[nodiscard]] bool has_any_remote_demand(instant now) const;

    /** This node's share while requests wait. `slots` tells how many of an upstream may be filled; `arriving`
       are the requests a second for the service at this node. */
    template <typename Slots>
    const share_map& of_service(std::uint32_t service, int arriving, std::span<const upstream_ptr> usable,
                                Slots slots, instant now) {
        auto& held = held_[service];
        if (now >= held.until) {
            std::vector<upstream_slots> pool;
            pool.reserve(usable.size());
            for (const auto& it : usable) {
                pool.push_back({.upstream = it->number,
                                .failure_domain = it->entry.failure_domain,
                                .slots = slots(*it)});
            }
            held.until = now + lifetime;
            held.share = compute(service, arriving, pool, now);
        }
        return held.share;
    }

private:
    struct node_demand {
        std::uint64_t node{0};
        std::string failure_domain;
        int per_second{0};
        instant until;
        instant on_time_until;
    };
    struct upstream_slots {
        std::uint32_t upstream{0};
        std::string_view failure_domain;
        int slots{0};
    };
    struct held_share {
        share_map share;
        instant until;
    };

    [[nodiscard]] share_map compute(std::uint32_t service, int arriving, std::span<const upstream_slots> pool,
                                    instant now) const;

    std::uint64_t self_;
    std::string failure_domain_;
    absl::flat_hash_map<std::uint32_t, std::vector<node_demand>> demands_; // of other nodes, by service
    absl::flat_hash_map<std::uint32_t, held_share> held_;
};

} // namespace berylcrank
