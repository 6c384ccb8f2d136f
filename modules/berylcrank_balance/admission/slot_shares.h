#pragma once

#include "modules/berylcrank_balance/catalog/upstream_directory.h"

#include <absl/container/flat_hash_map.h>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace berylcrank {

/** Demand of one node for a service for which it has queued requests. */
struct waiting_count {
    std::uint32_t service{0}; ///< Hash of the service's name.
    int on_time{0};           ///< Queued requests that can still meet their latency target.
    int late{0};              ///< Queued requests that cannot.
    int per_second{0};        ///< Arrival rate of the service's requests at the node.

    bool operator==(const waiting_count&) const = default;
};

/** Hash of a service's name, which identifies the service in messages between nodes. */
std::uint32_t service_number(std::string_view service);

/** Divides the slots of a service's upstreams among the nodes that have requests queued for the service.

    During a burst, every node sees the same free slot in the same messages. If all nodes used it, the
    upstream's own queue would fill with requests that end late. Instead, each node computes the same division
    from the exchanged demand: in proportion to the arrival rates of the nodes, and within a node's own
    failure domain where possible. Nodes with different views use a slot too many or too few until the next
    message.
    @see wait_queue, choice_request
*/
class slot_shares {
public:
    /** Time for which computed shares are cached. */
    static constexpr millis lifetime{10};

    /** Time for which a node keeps its share after it last reported queued requests. Short queues, of a few
        tens of milliseconds, empty and refill constantly. */
    static constexpr millis demand_lifetime{300};

    /** Time for which on-time requests reported by another node take precedence over late requests of this
        node. It covers the message interval of a node with queued requests and the network delay. With a
        longer time, slots would stay empty between two messages. */
    static constexpr millis on_time_demand_lifetime{40};

    /** Number of times that a node checks a free slot, once per tick, before the other nodes learn that the
        slot was taken. */
    static constexpr double attempts_per_update = 3;

    /** Number of slots of each upstream that this node may use, by upstream number. */
    using share_map = absl::flat_hash_map<std::uint32_t, int>;

    /** `self` is the number of this node. */
    slot_shares(std::uint64_t self, std::string failure_domain)
        : self_(self), failure_domain_(std::move(failure_domain)) {}

    /** Replaces the demand of another node for the services in `counts`. Services without queued requests are
        skipped; their earlier demand expires after `demand_lifetime`. */
    void update_demand(std::uint64_t node, const std::string& failure_domain,
                       std::span<const waiting_count> counts, instant now);

    /** Removes the demand of a node. */
    void forget(std::uint64_t node);

    /** Probability of using a free slot outside the node's share at each check. It is set so that about one
        of the nodes that see the slot uses it before the others learn that it was taken. */
    [[nodiscard]] double borrow_probability(std::uint32_t service, instant now) const;

    /** Returns whether another node has recently reported queued requests for the service. */
    [[nodiscard]] bool has_remote_demand(std::uint32_t service, instant now) const;
    /** Returns whether another node has recently reported queued on-time requests for the service. */
    [[nodiscard]] bool has_remote_on_time_demand(std::uint32_t service, instant now) const;
    /** Returns whether another node has recently reported queued requests for any service. */
    [[nodiscard]] bool has_any_remote_demand(instant now) const;

    /** Returns this node's share of the service's slots while requests are queued.

        @param service              hash of the service's name
        @param arrivals_per_second  arrival rate of the service's requests at this node
        @param usable               upstreams of the service that this node uses
        @param slots                function that returns how many slots of an upstream may be used
        @param now                  current time
    */
    template <typename Slots>
    const share_map& of_service(std::uint32_t service, int arrivals_per_second,
                                std::span<const upstream_ptr> usable, Slots slots, instant now) {
        auto& cached = cache_[service];
        if (now >= cached.valid_until) {
            std::vector<upstream_slots> pool;
            pool.reserve(usable.size());
            for (const auto& it : usable) {
                pool.push_back({.upstream = it->number,
                                .failure_domain = it->entry.failure_domain,
                                .slots = slots(*it)});
            }
            cached.valid_until = now + lifetime;
            cached.share = compute(service, arrivals_per_second, pool, now);
        }
        return cached.share;
    }

private:
    struct node_demand {
        std::uint64_t node{0};
        std::string failure_domain;
        int per_second{0};
        instant valid_until;
        instant on_time_valid_until;
    };
    struct upstream_slots {
        std::uint32_t upstream{0};
        std::string_view failure_domain;
        int slots{0};
    };
    struct cached_share {
        share_map share;
        instant valid_until;
    };

    [[nodiscard]] share_map compute(std::uint32_t service, int arrivals_per_second,
                                    std::span<const upstream_slots> pool, instant now) const;

    std::uint64_t self_;
    std::string failure_domain_;
    absl::flat_hash_map<std::uint32_t, std::vector<node_demand>> demands_; // of other nodes, by service
    absl::flat_hash_map<std::uint32_t, cached_share> cache_;
};

} // namespace berylcrank
