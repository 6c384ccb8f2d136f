#pragma once

#include "modules/berylcrank_balance/catalog/record_table.h"
#include "modules/berylcrank_core/time/clock.h"
#include "modules/berylcrank_gateway/log/event_log.h"
#include "modules/berylcrank_gateway/peers/node_message.h"
#include "modules/berylcrank_gateway/state/metadata_store.h"

#include <array>
#include <functional>

namespace berylcrank {

/** Times of a follower. */
struct follower_options {
    millis operators_wait{900}; ///< How long a read of the operators' records may wait at the store.
    millis upstreams_interval{
        450};              ///< Age of the upstreams' records at which the first node reads them again.
    millis first_read{45}; ///< For which a new node waits for the records of another node.
    millis first_step{60}; ///< Added per place among the known nodes: only the first reads if all start.
    millis rank_step{350}; ///< Added per place in the order of the nodes, up to `ranks`.
    int ranks{4};          ///< Places of which one can usually read the store.
    millis late_rank_step{
        150}; ///< Added per place beyond: an outage of the store must not make all nodes call it.
    millis first_retry{250}; ///< Pause after a failed read; doubles.
    millis longest_retry{1200};
    millis message_delay{20}; ///< Taken off what another node vouches for: its message was on the way.
    millis outage{1500};      ///< Age from which a return of the store counts as the end of an outage.
};

/** Keeps this node's copy of the store's records current with few calls.

    Every node knows from the others' messages how current their copies are, and pulls what it lacks from
   them. A node reads the store itself only when no copy has been confirmed for longer than its place in the
   order of nodes allows; so the first node reads, the second takes over when the first fails, and two that
   read at once do no harm. A read vouches for the copies of all nodes once: its word is not renewed by
   passing it on, or delays on the way would add up until nobody reads. No node holds a duty that it could
   lose without noticing.
    @see record_table, metadata_store
*/
class state_follower {
public:
    /** Takes a record; returns whether it changed what the node believes. */
    using change_handler = std::function<bool(record_source, const state_record&, bool after_outage)>;

    /** `self` names this node and `incarnation` orders its starts. */
    state_follower(metadata_store& store, const clock& time, event_log& log, follower_options options,
                   std::uint64_t self, std::uint64_t incarnation, const change_handler& changed);

    /** Starts reads that are due; `rank` is this node's place among the live nodes. */
    void tick(std::size_t rank, instant now);

    /** Takes what another node said of its copy. Returns true if it has records that this one lacks. */
    bool hear(const std::array<state_mark, record_source_count>& marks, instant now);

    /** Merges records that another node gave. */
    void merge(const state_answer& answer, instant now);

    /** What this node can give to one whose copies end at the offsets `from`. */
    [[nodiscard]] state_answer give(const std::array<std::uint64_t, record_source_count>& from,
                                    instant now) const;

    [[nodiscard]] std::array<state_mark, record_source_count> marks(instant now) const;
    [[nodiscard]] std::uint64_t end(record_source source) const { return of(source).book.end(); }
    [[nodiscard]] bool complete() const;
    /** Reads of the store by this node that succeeded. */
    [[nodiscard]] std::uint64_t own_reads() const { return next_read_; }
    /** Age of the copy of a source. */
    [[nodiscard]] millis age(record_source source, instant now) const {
        return now - of(source).book.confirmed();
    }
    /** Whether the store counts as unreachable for all nodes. */
    [[nodiscard]] bool store_lost() const { return lost_; }

private:
    struct follow {
        record_table book;
        bool reading{false};
        bool read_everything{true};
        instant next_try;
        instant outage_over; // removals until then may be lapses
        millis retry;
        std::uint64_t reader{0}; // node and number of the read that confirmed the book last
        std::uint64_t read{0};
        absl::flat_hash_map<std::uint64_t, std::uint64_t> reads_seen; // newest read of each node
    };

    follow& of(record_source source) { return follows_[static_cast<std::size_t>(source)]; }
    [[nodiscard]] const follow& of(record_source source) const {
        return follows_[static_cast<std::size_t>(source)];
    }
    [[nodiscard]] bool due(record_source source, std::size_t rank, instant now) const;
    void read(record_source source, instant now);
    void took(record_source source, const store_read& it, bool everything, instant vouched);
    bool take_word(follow& it, const state_mark& mark) const;
    void note_return(follow& it, instant now) const;
    void note_store(bool lost, record_source source, store_outcome outcome);

    metadata_store& store_;
    const clock& time_;
    event_log& log_;
    follower_options options_;
    std::array<follow, record_source_count> follows_;
    instant started_;
    std::uint64_t self_;
    std::uint64_t next_read_;
    bool lost_{false};
};

} // namespace berylcrank
