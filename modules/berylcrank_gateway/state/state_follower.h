#pragma once

#include "modules/berylcrank_balance/catalog/record_table.h"
#include "modules/berylcrank_core/time/clock.h"
#include "modules/berylcrank_gateway/log/event_log.h"
#include "modules/berylcrank_gateway/peers/node_message.h"
#include "modules/berylcrank_gateway/state/metadata_store.h"

#include <array>
#include <functional>

namespace berylcrank {

/** Intervals and timeouts of a state_follower. */
struct follower_options {
    millis operators_poll_wait{900};   ///< Long-poll wait of a read of the operators' records.
    millis upstreams_refresh_age{450}; ///< Age of the upstreams' records at which rank 0 reads them again.
    millis first_read_delay{45};       ///< Time for which a new node waits for another node's records.
    millis first_read_step{60}; ///< Added per rank among the known nodes, so that only the first node reads
                                ///< when all start together.
    millis rank_step{350};      ///< Delay of a read per rank, up to `early_ranks`.
    int early_ranks{4};         ///< Number of ranks of which usually at least one can read the store.
    millis late_rank_step{150}; ///< Delay per rank beyond `early_ranks`, so that not all nodes call the store
                                ///< in an outage.
    millis first_retry{250};    ///< Backoff after a failed read; doubles with each failure up to `max_retry`.
    millis max_retry{1200};
    millis message_delay{20}; ///< Assumed delivery time of a message; subtracted from the time that another
                              ///< node's confirmation states.
    millis outage_threshold{1500}; ///< Age of the copy from which the next successful read counts as the end
                                   ///< of an outage.
};

/** Keeps this node's copy of the store's records current with few calls to the store.

    Nodes exchange watermarks that state how current their copies are, and pull missing records from each
    other. A node reads the store itself only when its copy has not been confirmed for longer than the delay
    of its rank. The node of rank 0 therefore reads, and the next one takes over when it fails. Two nodes that
    read at the same time do no harm, so no node holds a lease or a role that it could lose without noticing.

    A store that is restored from a backup starts a new epoch. The nodes then read everything again, and serve
    from their old copies until they have. A copy of an older epoch is behind one of a newer epoch, whatever
    their ends.

    A read confirms the copies of all nodes, and a node accepts each read only once. Forwarding a confirmation
    does not renew it; otherwise message delays would add up until no node reads the store.
    @see record_table, metadata_store
*/
class state_follower {
public:
    /** Applies a record. @see record_table::change_handler */
    using change_handler =
        std::function<record_effect(record_source, const state_record&, bool after_outage)>;

    /** Returns whether a known record stays in place of the one that a restored store holds.
        @see record_table::keep_handler */
    using keep_handler =
        std::function<bool(record_source, const state_record& known, const state_record& restored)>;

    /** `self` is the number of this node. `incarnation` grows with each of its starts. */
    state_follower(metadata_store& store, const clock& time, event_log& log, follower_options options,
                   std::uint64_t self, std::uint64_t incarnation, const change_handler& changed,
                   const keep_handler& keeps = {});

    /** Starts the reads that are due. `rank` is this node's rank among the live nodes. */
    void tick(std::size_t rank, instant now);

    /** Processes the watermarks of another node. Returns true if that node has records that this one
        lacks. */
    bool on_watermarks(const std::array<state_watermark, record_source_count>& watermarks, instant now);

    /** Merges the records in another node's response. */
    void merge(const state_response& response, instant now);

    /** Returns the records for a node whose copies end at the positions `from`: all records if its epoch is
        older than that of this node's copy. */
    [[nodiscard]] state_response state_since(const std::array<store_position, record_source_count>& from,
                                             instant now) const;
    /** Returns the ends of this node's copies. */
    [[nodiscard]] std::array<store_position, record_source_count> ends() const;

    /** Returns how current this node's copies are. */
    [[nodiscard]] std::array<state_watermark, record_source_count> watermarks(instant now) const;
    /** Returns the highest epoch of the store that this node has seen. */
    [[nodiscard]] std::uint64_t epoch() const { return epoch_; }
    /** Number of results that stated a malformed epoch or one that had decreased. */
    [[nodiscard]] std::uint64_t invalid_epochs() const { return invalid_epochs_; }
    /** Number of results of an older epoch that arrived after the epoch had increased and were dropped. */
    [[nodiscard]] std::uint64_t late_results() const { return late_results_; }
    /** Returns true once the copies of all sources are complete. */
    [[nodiscard]] bool complete() const;
    /** Returns the number of this node's last successful read. Reads of a later start have larger numbers. */
    [[nodiscard]] std::uint64_t last_read_number() const { return last_read_number_; }
    /** Time since the copy of a source was last confirmed to be current. */
    [[nodiscard]] millis age(record_source source, instant now) const {
        return now - of(source).table.confirmed();
    }
    /** Returns true if this node's last read of the store failed. */
    [[nodiscard]] bool store_lost() const { return store_lost_; }

private:
    struct source_state {
        record_table table;
        bool reading{false};
        bool needs_snapshot{true};
        instant next_try;
        instant outage_window_end; // until then, a removal may be a registration that lapsed in the outage
        millis retry;
        std::uint64_t reader{0}; // node and number of the read that last confirmed the table
        std::uint64_t read_number{0};
        absl::flat_hash_map<std::uint64_t, std::uint64_t> latest_reads; // latest read number of each node
    };

    source_state& of(record_source source) { return sources_[static_cast<std::size_t>(source)]; }
    [[nodiscard]] const source_state& of(record_source source) const {
        return sources_[static_cast<std::size_t>(source)];
    }
    [[nodiscard]] bool due(record_source source, std::size_t rank, instant now) const;
    // What was known when a read was sent.
    struct sent_read {
        bool is_snapshot{false};
        std::uint64_t table_epoch{0};   // epoch of the offset from which it reads
        std::uint64_t highest_epoch{0}; // that this node had seen
    };

    [[nodiscard]] record_table make_table(record_source source, const change_handler& changed,
                                          const keep_handler& keeps);
    void observe_epoch(std::uint64_t epoch, instant now);
    std::optional<std::uint64_t> settle_epoch(const store_read_result& it, const sent_read& sent,
                                              instant now);
    void count_invalid_epoch(const store_read_result& it);
    void begin_epoch(source_state& it, const epoch_start& start, std::span<const state_record> records,
                     instant confirmed_at) const;
    void merge_read(source_state& it, const store_read_result& response, std::uint64_t epoch,
                    bool is_snapshot, instant confirmed_at);
    void read(record_source source, instant now);
    void on_read_done(record_source source, const store_read_result& response, const sent_read& sent,
                      instant confirmed_at);
    void on_read_failed(record_source source, store_outcome outcome, instant now);
    bool accept_confirmation(source_state& it, const state_watermark& watermark) const;
    void detect_outage_end(source_state& it, instant now) const;
    void set_store_lost(bool lost, record_source source, store_outcome outcome);

    metadata_store& store_;
    const clock& time_;
    event_log& log_;
    follower_options options_;
    std::array<source_state, record_source_count> sources_;
    instant started_;
    std::uint64_t self_;
    std::uint64_t last_read_number_;
    std::uint64_t epoch_{0};
    instant epoch_seen_at_; // when it was first seen
    std::uint64_t invalid_epochs_{0};
    std::uint64_t late_results_{0};
    bool store_lost_{false};
};

} // namespace berylcrank
