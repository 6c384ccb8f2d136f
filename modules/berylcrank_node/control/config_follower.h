#pragma once

#include "modules/berylcrank_config/state/freshness.h"
#include "modules/berylcrank_core/random/random_source.h"
#include "modules/berylcrank_core/time/clock.h"
#include "modules/berylcrank_node/control/log_tail.h"
#include "modules/berylcrank_node/control/record_writer.h"
#include "modules/berylcrank_node/control/shared_config.h"
#include "modules/berylcrank_node/control/state_peers.h"
#include "modules/berylcrank_node/control/stop_signal.h"

#include <atomic>
#include <memory>
#include <optional>
#include <string>
#include <thread>

namespace berylcrank {

/** Keeps a node's configuration up to date: tails the log, pulls state from peers, appends snapshots and
   group assignments.

    Two threads do the blocking calls: one reads the log, the other appends and pulls. All public functions
   are safe from any thread, and none of them waits for the log or a peer.
    @see config_view, freshness
*/
class config_follower {
public:
    struct options {
        millis poll{500};               ///< Long poll of the log.
        millis retention{3600000};      ///< How long the log keeps a record.
        millis gap_wait{15000};         ///< How long to look for records that were trimmed unread.
        millis peer_limit{1000};        ///< How long one pull from peers may take.
        millis retry{100};              ///< Shortest wait after a failed read.
        std::uint32_t page_records{64}; ///< Most records in one read.
        std::uint64_t seed{1};          ///< Of waits and snapshot ids; nodes must differ.
    };

    config_follower(options it, log_service& log, state_peers& peers, const clock& time,
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

    /** True once this node holds a configuration: it read the log from its start or from a snapshot to its
       end, or took state from a peer. */
    [[nodiscard]] bool is_ready() const { return ready_.load(); }

    /** What the log showed last. */
    [[nodiscard]] log_evidence evidence() const { return tail_.evidence(); }

    /** Fills in the log's part of the inputs of `decide_freshness`. */
    void add_evidence(freshness_inputs& it) const;

    /** Takes a peer's applied offset and digest from gossip; pulls its state if it has something that the log
       does not deliver. */
    void on_peer_state(std::uint64_t applied, std::uint64_t digest);

    /** Answers a peer's `pull_state`. */
    [[nodiscard]] std::string delta_since(std::uint64_t from) const { return config_.delta_since(from); }

    /** Asks the log to make nodes the holders of groups. @see config_view::holder_of */
    void propose(std::span<const holder_assignment> list);

    /** State and up to `limit` ticket outcomes. */
    [[nodiscard]] config_read_back read_back(std::size_t limit) const { return config_.read_back(limit); }

    /** Outcomes of one ticket number. */
    [[nodiscard]] std::vector<ticket_outcome> outcomes_of(std::uint64_t number) const {
        return config_.outcomes_of(number);
    }

    /** Snapshots that this node appended. */
    [[nodiscard]] std::uint64_t snapshots_written() const { return writer_.snapshots_written(); }

    /** Pulls from peers that brought a readable answer. */
    [[nodiscard]] std::uint64_t pulls() const { return pulls_.load(); }

private:
    void run_tail();
    void run_writer();
    void pull_if_asked();
    void update_ready();
    [[nodiscard]] bool is_log_current(instant now) const;

    options options_;
    log_service& log_;
    state_peers& peers_;
    const clock& clock_;
    seeded_random tail_random_;
    seeded_random writer_random_;
    shared_config config_;
    log_tail tail_;
    record_writer writer_;
    stop_signal tail_signal_;
    stop_signal writer_signal_;
    std::atomic<bool> ready_{false};
    std::atomic<bool> pull_asked_{false};
    std::atomic<bool> pull_all_{false};
    std::atomic<std::uint64_t> pulls_{0};
    std::atomic<std::int64_t> next_pull_micros_{0};
    std::thread tail_thread_;
    std::thread writer_thread_;
};

} // namespace berylcrank
