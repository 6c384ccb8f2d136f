#pragma once

#include "modules/berylcrank_core/time/clock.h"
#include "modules/berylcrank_membership/view/peer_view.h"
#include "modules/berylcrank_node/control/config_follower.h"
#include "modules/berylcrank_node/request/permit_source.h"
#include "modules/berylcrank_routing/cold/permit_issuer.h"
#include "modules/berylcrank_rpc/peer/peer_client.h"

#include <array>
#include <deque>
#include <memory>

namespace berylcrank {

/** Asks the holder of an upstream's admission group for permits: this node's own issuer, or another node by
   RPC.

    Requests that get none are asked again, by class, until their deadline. At most `most_waiting` wait.
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
        millis call{300}; ///< An unanswered call to a holder ends after this.
        millis retry{20}; ///< Wait after an answer that names no time, and while there is no holder.
        std::size_t most_waiting{4096}; ///< Further requests get no permit at once.
    };

    holder_permits(const parts& it, const options& o) : parts_(it), options_(o) {}

    void acquire(const std::string& upstream, request_class it, instant deadline, on_permit done) override;
    void release(const permit_release& it) override;

    /** Asks again for those whose time has come. Call every 5 to 20 ms. */
    void tick();

private:
    struct asker {
        std::string upstream;
        request_class priority{request_class::lookup};
        instant deadline;
        on_permit done;
        instant again;
    };
    using asker_ptr = std::shared_ptr<asker>;

    void ask(const asker_ptr& it);
    void ask_self(const asker_ptr& it);
    void ask_peer(const asker_ptr& it, incarnation holder, const std::string& address);
    void take(const asker_ptr& it, incarnation holder, instant asked, const permit_answer& answer);
    void ask_later(const asker_ptr& it, millis wait);
    [[nodiscard]] incarnation holder_of(const std::string& upstream) const;

    parts parts_;
    options options_;
    mutex mutex_;
    std::array<std::deque<asker_ptr>, request_class_count> waiting_ ABSL_GUARDED_BY(mutex_);
};

} // namespace berylcrank
