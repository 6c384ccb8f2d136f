#pragma once

#include "modules/berylcrank_config/state/freshness.h"
#include "modules/berylcrank_core/random/random_source.h"
#include "modules/berylcrank_core/time/clock.h"
#include "modules/berylcrank_node/control/log_tail.h"
#include "modules/berylcrank_node/control/peer_state_source.h"
#include "modules/berylcrank_node/control/record_writer.h"
#include "modules/berylcrank_node/control/shared_config.h"
#include "modules/berylcrank_node/control/stop_signal.h"

#include <atomic>
#include <memory>
#include <optional>
#include <string>
#include <thread>

namespace berylcrank {

/** Keeps a node's configuration up to date: tails the log, pulls state from peers, appends snapshots and
    group assignments.
    Two threads make the blocking calls: one reads the log, the other appends and pulls. All public
    functions are thread-safe, and none of them waits for the log or a peer.
    @see config_view, freshness
*/
class config_follower {
public:
    struct options {
        millis poll{500};               ///< Long-poll time of a log read.
        millis retention{3600000};      ///< Retention time of log records.
        millis gap_wait{15000};         ///< Time to search for trimmed records in a snapshot or at a peer.
        millis pull_timeout{1000};      ///< Timeout of one pull from peers.
        millis retry{100};              ///< Minimum wait after a failed read.
        std::uint32_t page_records{64}; ///< Maximum number of records per read.
        std::uint64_t seed{1};          ///< Seeds wait times and snapshot ids; must differ between nodes.
    };

    config_follower(options it, log_service& log, peer_state_source& peers, const clock& time,
                    shared_config::view_observer observer = {});
    ~config_follower();
    config_follower(const config_follower&) = delete;
    config_follower& operator=(const config_follower&) = delete;

    /** Starts the threads. */
    void start();

    /** Cancels calls in progress and joins the threads. */
    void stop();

    /** The configuration in force; never null. */
    [[nodiscard]] config_view_ptr view() const { return config_.view(); }

    /** True once this node has a configuration: it has read the log to its end, from the log's start or
        from a snapshot, or has pulled state from a peer. */
    [[nodiscard]] bool is_ready() const { return ready_.load(); }

    /** Status of the most recent log reads. */
    [[nodiscard]] log_read_status log_status() const { return tail_.log_status(); }

    /** Sets the inputs of `decide_freshness` that describe the log. */
    void add_log_status(freshness_inputs& it) const;

    /** Processes a peer's applied offset and digest from gossip. Requests a pull if the peer has state that
        the log does not deliver. */
    void on_peer_state(std::uint64_t applied, std::uint64_t digest);

    /** Encodes the response to a peer's `pull_state`. */
    [[nodiscard]] std::string delta_since(std::uint64_t from) const { return config_.delta_since(from); }

    /** Proposes group holders by appending assignments to the log. @see config_view::holder_of */
    void propose(std::span<const holder_assignment> list);

    /** Summary of the state with up to `limit` ticket outcomes. */
    [[nodiscard]] config_summary summary(std::size_t limit) const { return config_.summary(limit); }

    /** Outcomes of one ticket number. */
    [[nodiscard]] std::vector<ticket_outcome> outcomes_of(std::uint64_t number) const {
        return config_.outcomes_of(number);
    }

    /** Number of snapshots that this node appended. */
    [[nodiscard]] std::uint64_t snapshots_written() const { return writer_.snapshots_written(); }

    /** Number of pulls from peers that returned a readable response. */
    [[nodiscard]] std::uint64_t pulls() const { return pulls_.load(); }

private:
    void run_tail();
    void run_writer();
    void pull_if_requested();
    void update_ready();
    [[nodiscard]] bool is_log_current(instant now) const;

    options options_;
    log_service& log_;
    peer_state_source& peers_;
    const clock& clock_;
    seeded_random tail_random_;
    seeded_random writer_random_;
    shared_config config_;
    log_tail tail_;
    record_writer writer_;
    stop_signal tail_signal_;
    stop_signal writer_signal_;
    std::atomic<bool> ready_{false};
    std::atomic<bool> pull_requested_{false};
    std::atomic<bool> pull_full_state_{false};
    std::atomic<std::uint64_t> pulls_{0};
    std::atomic<std::int64_t> next_pull_micros_{0};
    std::thread tail_thread_;
    std::thread writer_thread_;
};

} // namespace berylcrank
