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

/** Asks the holder of an upstream's admission group for permits: this node's own issuer, or another node by
   RPC.

    Requests wait in a queue for each upstream, by class, until their deadline; at most `most_waiting` wait.
   For each upstream at most one ask is under way, for the first in its queue: with one ask for each request a
    pool that is entirely cold would be asked many thousand times a second.
    @see permit_issuer, cold_gate
*/
class holder_permits final : public permit_source {
public:
    /** What it asks; all must outlive it. */
    struct parts {
        const clock& time;
        incarnation self;
        const config_follower& config;
        const peer_view& peers;
        permit_issuer& issuer;
        peer_client& client;
    };

    struct options {
        millis call{300};         ///< An unanswered call to a holder ends after this.
        millis retry{20};         ///< Wait after an answer that names no time, and while there is no holder.
        millis longest_wait{200}; ///< An ask is repeated after this at the latest; the holder may change.
        std::size_t most_waiting{4096}; ///< Further requests get no permit at once.
        unsigned release_tries{3};      ///< Sends of a release that is not answered.
    };

    holder_permits(const parts& it, const options& o) : parts_(it), options_(o) {}

    void acquire(const std::string& upstream, request_class it, instant deadline, on_permit done) override;
    void release(const permit_release& it) override;

    /** Asks again for those whose time has come and ends those whose deadline has passed. Call every 5 to
        20 ms. */
    void tick();

    /** Requests that wait for a permit. */
    [[nodiscard]] std::size_t waiting() const;

private:
    struct waiter {
        instant deadline;
        on_permit done;
    };
    struct queue {
        std::array<std::deque<waiter>, request_class_count> waiters;
        bool is_asking{false};
        instant again;

        [[nodiscard]] std::optional<std::size_t> first() const;
    };
    /** The outcome of an ask. */
    struct reply {
        incarnation holder;
        instant asked;
        permit_response answer;
    };

    void ask(const std::string& upstream);
    /** Asks a holder; the answer comes back at once if this node is the holder or there is none. */
    std::optional<reply> send_ask(const std::string& upstream, request_class it);
    /** Hands a permit to the first in the queue. @return True if more are waiting and may be asked for now.
     */
    bool take(const std::string& upstream, const reply& it);
    void send_release(const permit_release& it, unsigned tries);
    std::vector<on_permit> remove_late(queue& it, instant limit) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    [[nodiscard]] incarnation holder_of(const std::string& upstream) const;

    parts parts_;
    options options_;
    mutable mutex mutex_;
    string_map<queue> queues_ ABSL_GUARDED_BY(mutex_); // By upstream.
    std::size_t waiting_ ABSL_GUARDED_BY(mutex_){0};
};

} // namespace berylcrank
