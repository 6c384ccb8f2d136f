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

/** Membership and failure detector of a node: the other nodes as seen by this one.

    The VM list names the initial members; gossip updates them. Safe from any thread.

    A run is one incarnation of a node process. A heartbeat of a run is a message from it, or a report by
    another node that it received one.

    A run counts as silent only if calls from several nodes to it timed out, because the network may fail
    between two nodes only. A run counts as gone if its port refuses connections, its vm left the VM list and
    has sent no heartbeat for `silence_timeout`, or another run on the same vm has a newer heartbeat. A run
    that was marked as gone by mistake becomes alive again when it responds to a later call.
    @see address_selector, gossip_message
*/
class peer_view {
public:
    struct options {
        peer_info self;
        millis silence_timeout{1500}; ///< Time without a heartbeat after which silence reports are counted.
        /** Number of nodes that must report silence. Fewer are needed if fewer nodes are alive. */
        std::size_t observers{3};
        std::size_t fan_out{3};           ///< Peers in one gossip round.
        std::size_t entries{4};           ///< Peers reported in one message; bounds its size.
        millis change_retention{10000};   ///< Time for which a change is sent with priority and in full.
        std::size_t max_ended_runs{4096}; ///< Ended runs that are stored.
    };

    explicit peer_view(options it);

    /** Applies a complete VM list. A vm that is no longer listed counts as gone when it becomes silent. */
    void apply_vm_list(std::span<const vm_seed> list, instant now);

    /** Marks this node as ready to serve in all later messages. Until then, it counts as starting. */
    void become_ready();

    /** Marks this node as leaving in all later messages. */
    void leave();

    /** Processes a message that a peer sent on its own initiative. */
    void on_message(const gossip_message& it, instant now);

    /** Processes the response to a call that was sent at `sent_at` to the rpc address `address`. */
    void on_response(const gossip_message& it, std::string_view address, instant sent_at, instant now);

    /** Processes the timeout of a call that was sent at `sent_at`. */
    void on_call_timeout(const gossip_target& it, instant sent_at);

    /** Processes a connection that the target's port refused: the run known there has ended. */
    void on_refused(const gossip_target& it, instant now);

    /** Chooses distinct peers at random for one gossip round. Gone runs whose vm is listed remain candidates,
        because a new run may have started there. */
    [[nodiscard]] std::vector<gossip_target> choose_targets(random_source& random, instant now) const;

    /** Builds a message with `sender` and `peers` set. */
    [[nodiscard]] gossip_message make_message(random_source& random, instant now) const;

    /** Returns the state of a run, or nothing if the run is not known. */
    [[nodiscard]] std::optional<peer_state> state(incarnation run, instant now) const;

    /** Returns true if the end of `run` is certain enough to replace it as a permit holder: its port refused
        a connection, another run responded at its rpc address, or its vm left the VM list and has sent no
        heartbeat for `silence_timeout`. */
    [[nodiscard]] bool has_ended(incarnation run, instant now) const;

    /** Returns the rpc address of a run, or nothing if the run is gone or not known. */
    [[nodiscard]] std::optional<std::string> rpc_address(incarnation run) const;

    /** Returns all members that are not gone, including this node, ordered by vm. */
    [[nodiscard]] std::vector<peer_member> members(instant now) const;

    /** Returns the fraction, from 0 to 1, of the other members that are not gone whose last heartbeat is not
        older than `within`; 1 if there are no other members. */
    [[nodiscard]] double recent_heartbeat_fraction(millis within, instant now) const;

    /** Returns the latest time at which a peer confirmed that it had read the log up to its end, at an offset
        of at most `applied_offset`; nothing if none did.

        Uses responses only, and counts their age from the start of the call. A message may have waited in a
        socket buffer while this process was paused, so its time of arrival proves nothing. */
    [[nodiscard]] std::optional<instant> log_end_confirmed_at(std::uint64_t applied_offset) const;

    /** Returns the time since which the outage of the log is confirmed, for use while the log cannot be read.

        This is the time since which at least half of the other members have responded to calls, or eight in a
        large cluster. None of them may have read the end of the log within `within` or have applied a record
        after `applied_offset`. Returns nothing if there is no such time within `within`: this node alone may
        be partitioned, or records were appended that it has not read.

        A refused connection to the log is not sufficient: a record may have been appended before the outage
        while this node was paused or partitioned. */
    [[nodiscard]] std::optional<instant> outage_confirmed_at(std::uint64_t applied_offset, millis within,
                                                             instant now) const;

    /** Returns the number of other members that are not gone. */
    [[nodiscard]] std::size_t size() const;

private:
    /** Content of a response that the confirmations use. */
    struct response_record {
        incarnation responder;
        instant sent_at; ///< Start of the call.
        /** Lower bound of the time when the responder last read the log's end. */
        std::optional<instant> log_end_read_at;
        std::uint64_t offset{0}; ///< Offset that the responder has applied.
    };
    struct ended_run {
        instant at;
        bool is_proven{false};
    };

    void merge_sender(const peer_info& it, instant at, bool is_response, std::string_view address)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void merge_entries(const gossip_message& it, instant now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void merge_indirect(const peer_info& it, instant at, instant now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void set_run(peer_record& peer, const peer_info& it, instant at) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void update_info(peer_record& peer, const peer_info& it, instant at)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void end_run(incarnation run, instant now, bool is_proven) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    [[nodiscard]] bool is_gone(const peer_record& it, instant now) const
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    [[nodiscard]] peer_state state_of(const peer_record& it, std::size_t needed, instant now) const
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    [[nodiscard]] std::size_t needed_observers(instant now) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    [[nodiscard]] peer_info make_entry(const peer_record& it, random_source& random, instant now) const
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

    const options options_;
    mutable mutex mutex_;
    bool is_leaving_ ABSL_GUARDED_BY(mutex_){false};
    bool is_starting_ ABSL_GUARDED_BY(mutex_){false};
    absl::btree_map<std::string, peer_record> peers_ ABSL_GUARDED_BY(mutex_); // By vm.
    absl::flat_hash_map<incarnation, std::string> vm_of_ ABSL_GUARDED_BY(mutex_);
    absl::flat_hash_map<incarnation, ended_run> ended_ ABSL_GUARDED_BY(mutex_);
    std::deque<incarnation> ended_order_ ABSL_GUARDED_BY(mutex_);
    std::deque<response_record> responses_ ABSL_GUARDED_BY(mutex_);
};

} // namespace berylcrank
