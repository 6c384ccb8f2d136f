#pragma once

#include "modules/berylcrank_core/time/clock.h"
#include "modules/berylcrank_membership/view/peer_view.h"
#include "modules/berylcrank_node/control/config_follower.h"
#include "modules/berylcrank_node/request/permit_source.h"
#include "modules/berylcrank_routing/cold/permit_issuer.h"
#include "modules/berylcrank_routing/cold/string_map.h"
#include "modules/berylcrank_rpc/peer/peer_client.h"

#include <array>
#include <deque>
#include <vector>

namespace berylcrank {

/** Requests permits from the holder of an upstream's admission group: this node's own issuer, or another
    node over RPC.
    Requests wait in one queue per upstream, by class, until their deadline; at most `max_waiting` wait.
    Each upstream has at most one call in flight, for the first request in its queue. One call per request
    would send many thousand calls per second while a whole pool is cold.
    @see permit_issuer, cold_gate
*/
class holder_permits final : public permit_source {
public:
    /** Components used to find and call holders; all must outlive this object. */
    struct dependencies {
        const clock& time;
        incarnation self;
        const config_follower& config;
        const peer_view& peers;
        permit_issuer& issuer;
        peer_client& client;
    };

    struct options {
        millis call_timeout{300}; ///< Timeout of a call to a holder.
        millis retry_delay{20}; ///< Wait after a response without a retry time, and while there is no holder.
        millis max_wait{200};   ///< Maximum wait before the next call; the holder may change.
        std::size_t max_waiting{4096}; ///< Maximum number of waiting requests; further ones get no permit.
        unsigned max_release_sends{3}; ///< Maximum number of sends of a release that gets no response.
    };

    holder_permits(const dependencies& it, const options& o) : deps_(it), options_(o) {}

    void acquire(const std::string& upstream, request_class it, instant deadline,
                 permit_callback done) override;
    void release(const permit_release& it) override;

    /** Makes the permit calls that are due and refuses requests whose deadline has passed. Call every 5 to
        20 ms. */
    void tick();

    /** Number of requests that wait for a permit. */
    [[nodiscard]] std::size_t waiting() const;

private:
    struct waiter {
        instant deadline;
        permit_callback done;
    };
    struct queue {
        std::array<std::deque<waiter>, request_class_count> waiters;
        bool is_calling{false};
        instant next_call;

        [[nodiscard]] std::optional<std::size_t> first() const;
    };
    /** Result of a permit call. */
    struct permit_result {
        incarnation holder;
        instant sent_at;
        permit_response response;
    };

    void request_permit(const std::string& upstream);
    /** Calls the holder. Returns the result directly if this node is the holder or no holder is reachable. */
    std::optional<permit_result> call_holder(const std::string& upstream, request_class it);
    /** Processes the result of a permit call: passes a permit to the first request in the queue. @return
        True if another request is waiting and its call may be made now. */
    bool on_permit_result(const std::string& upstream, const permit_result& it);
    void send_release(const permit_release& it, unsigned remaining_sends);
    std::vector<permit_callback> remove_expired(queue& it, instant limit)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    [[nodiscard]] incarnation holder_of(const std::string& upstream) const;

    dependencies deps_;
    options options_;
    mutable mutex mutex_;
    string_map<queue> queues_ ABSL_GUARDED_BY(mutex_); // By upstream.
    std::size_t waiting_ ABSL_GUARDED_BY(mutex_){0};
};

} // namespace berylcrank
