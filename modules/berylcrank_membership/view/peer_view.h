#pragma once

#include "modules/berylcrank_core/random/random_source.h"
#include "modules/berylcrank_core/sync/mutex.h"
#include "modules/berylcrank_membership/view/peer_record.h"

#include "absl/container/btree_map.h"
#include "absl/container/flat_hash_map.h"

#include <deque>
#include <span>
#include <string_view>

namespace berylcrank {

/** One node's view of the other nodes: seeded by the VM list, kept by gossip. Safe from any thread.

    A run counts as silent only if several nodes asked it without an answer, since silence can be one-sided.
    A run counts as gone if its port refuses connections, its vm left the VM list and is silent, or another
    run on the same vm has newer news. A reply to a call that was made later revokes a mistaken `gone`.
    @see address_selector, gossip_message
*/
class peer_view {
public:
    struct options {
        peer_info self;
        millis silence_timeout{1500}; ///< Time without news after which observers are counted.
        std::size_t observers{3};     ///< Observers needed for silence, fewer if fewer nodes are heard.
        std::size_t fan_out{3};       ///< Peers in one gossip round.
        std::size_t sample{4};        ///< Peers told about in one message; keeps its size constant.
        millis news{10000};           ///< How long a change is passed on in full.
        std::size_t max_gone{4096};
    };

    explicit peer_view(options it);

    /** Takes a whole VM list. A vm that was listed before and no longer is counts as gone once silent. */
    void apply_vm_list(std::span<const vm_seed> list, instant now);

    /** Marks this node as able to serve in all later messages; before, it counts as starting. */
    void become_ready();

    /** Marks this node as leaving in all later messages. */
    void leave();

    /** Takes a message that a peer sent on its own account. */
    void on_message(const gossip_message& it, instant now);

    /** Takes the reply to a call started at `asked` at the rpc address `address`. */
    void on_response(const gossip_message& it, std::string_view address, instant asked, instant now);

    /** Takes that the call started at `asked` got no answer in time. */
    void on_call_timeout(const gossip_target& it, instant asked);

    /** Takes that the target's port refused a connection: the run known there has ended. */
    void on_refused(const gossip_target& it, instant now);

    /** Different peers to gossip with in this round. Gone runs with a listed vm stay candidates, since a new
       run may have started there. */
    [[nodiscard]] std::vector<gossip_target> choose_targets(random_source& random, instant now) const;

    /** A message with `sender` and `peers` filled in. */
    [[nodiscard]] gossip_message make_message(random_source& random, instant now) const;

    /** State of a run; nothing if it was never known. */
    [[nodiscard]] std::optional<peer_state> state(incarnation run, instant now) const;

    /** True if the end of `run` is sure enough to replace it as a permit holder: refused connection, another
       run that answered at its rpc address, or a vm that left the list and has been silent. */
    [[nodiscard]] bool has_ended(incarnation run, instant now) const;

    /** Rpc address of a run that is not gone. */
    [[nodiscard]] std::optional<std::string> rpc_address(incarnation run) const;

    /** All members that are not gone, this node included, ordered by vm. */
    [[nodiscard]] std::vector<peer_member> members(instant now) const;

    /** Share of the other members that are not gone and of which there is direct or indirect news not older
       than `within`; 1 if there are none. */
    [[nodiscard]] double recent_heartbeat_fraction(millis within, instant now) const;

    /** Latest moment at which some peer proved to this node that it had read the log up to at most
       `applied_offset` and that this was the log's end. Only replies count, from the start of the call: a
       message that waited in a socket buffer while this process was paused looks new but is not. */
    [[nodiscard]] std::optional<instant> log_end_confirmed_at(std::uint64_t applied_offset) const;

    /** While the log cannot be read: the moment since which at least half of the other members (in a large
        cluster: eight) answered calls, none of them having read the log's end within `within` or knowing a
        record after `applied_offset`. Nothing if there is no such moment within `within`: then this node
        alone may be cut off, or records were appended that it has not read.

        That the log refuses connections proves nothing by itself: a record may have been appended before the
        outage, while this node was paused or cut off. */
    [[nodiscard]] std::optional<instant> outage_confirmed_at(std::uint64_t applied_offset, millis within,
                                                             instant now) const;

    /** Members that are not gone, other than this node. */
    [[nodiscard]] std::size_t size() const;

private:
    struct reply_note {
        incarnation from;
        instant asked;
        std::optional<instant> fresh; ///< When the replier last read the log's end, at the earliest.
        std::uint64_t offset{0};
    };
    struct ended_run {
        instant at;
        bool is_proven{false};
    };

    void take_sender(const peer_info& it, instant at, bool is_reply, std::string_view address)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void take_sample(const gossip_message& it, instant now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void take_indirect(const peer_info& it, instant at, instant now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void set_run(peer_record& peer, const peer_info& it, instant at) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void update_info(peer_record& peer, const peer_info& it, instant at)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void end_run(incarnation run, instant now, bool is_proven) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    [[nodiscard]] bool is_gone(const peer_record& it, instant now) const
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    [[nodiscard]] peer_state state_of(const peer_record& it, std::size_t needed, instant now) const
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    [[nodiscard]] std::size_t needed_observers(instant now) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    [[nodiscard]] peer_info told(const peer_record& it, random_source& random, instant now) const
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

    const options options_;
    mutable mutex mutex_;
    bool is_leaving_ ABSL_GUARDED_BY(mutex_){false};
    bool is_starting_ ABSL_GUARDED_BY(mutex_){false};
    absl::btree_map<std::string, peer_record> peers_ ABSL_GUARDED_BY(mutex_); // By vm.
    absl::flat_hash_map<incarnation, std::string> vm_of_ ABSL_GUARDED_BY(mutex_);
    absl::flat_hash_map<incarnation, ended_run> ended_ ABSL_GUARDED_BY(mutex_);
    std::deque<incarnation> ended_order_ ABSL_GUARDED_BY(mutex_);
    std::deque<reply_note> replies_ ABSL_GUARDED_BY(mutex_);
};

} // namespace berylcrank
