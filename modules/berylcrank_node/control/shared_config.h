#pragma once

#include "modules/berylcrank_config/state/config_state.h"
#include "modules/berylcrank_core/sync/mutex.h"
#include "modules/berylcrank_platform/log/log_service.h"

#include <functional>
#include <memory>
#include <span>

namespace berylcrank {

/** Summary of a node's configuration: which tickets are in force, and why others are not. @see
    config_follower::summary */
struct config_summary {
    std::uint64_t applied{0}; ///< One past the last applied log offset.
    std::uint64_t digest{0};  ///< Equal on nodes with the same configuration.
    std::uint64_t floor{0};   ///< Tickets with numbers up to this one are rejected.
    bool has_gap{false};      ///< Records were trimmed before this node read them.
    apply_counters counters;
    std::vector<ticket_outcome> outcomes; ///< Highest numbers first.
};

/** The configuration state of a node, guarded by a lock, and its published view.
    `view` never waits for an update of the state. Thread-safe.
    @see config_follower
*/
class shared_config {
public:
    /** Called after a change with the new view, on the thread that made the change. */
    using view_observer = std::function<void(const config_view_ptr&)>;

    explicit shared_config(view_observer observer);

    /** The current view; never null. */
    [[nodiscard]] config_view_ptr view() const;

    /** Applies the next records of the log, then publishes the view. */
    void apply(std::span<const log_record> records);

    /** Searches records for snapshots only. @return True if a snapshot was merged. */
    bool scan(std::span<const log_record> records);

    /** @see config_state::skip_to */
    void skip_to(std::uint64_t offset);

    /** Merges an encoded snapshot or peer delta. @return False if it is malformed or rejected. */
    bool merge(std::string_view encoded, bool allow_gap);

    /** Encodes the changes for a peer that includes all offsets below `from`. The full state is encoded
        once for all peers that need it. At 30,000 upstreams that takes about 35 ms, without holding the
        lock of the state. */
    [[nodiscard]] std::string delta_since(std::uint64_t from) const;

    /** The encoded full state and the end of the offsets that it includes. */
    [[nodiscard]] std::pair<std::string, std::uint64_t> snapshot() const;

    [[nodiscard]] std::uint64_t applied() const;
    [[nodiscard]] std::uint64_t first_missing() const;
    [[nodiscard]] std::optional<logged_snapshot> newest_snapshot() const;
    [[nodiscard]] config_summary summary(std::size_t limit) const;

    /** Outcomes of one ticket number; empty if it was not seen or is at or below the floor. */
    [[nodiscard]] std::vector<ticket_outcome> outcomes_of(std::uint64_t number) const;

private:
    /** An encoded full state, as sent to peers and written to the log. */
    struct encoded_state {
        std::string encoded;
        std::uint64_t applied{0};
        std::uint64_t digest{0};
    };

    [[nodiscard]] std::shared_ptr<const encoded_state> encode_full_state() const;
    void publish();

    mutable mutex state_mutex_;
    config_state state_ ABSL_GUARDED_BY(state_mutex_);
    mutable mutex view_mutex_; ///< Held only while a pointer is copied.
    config_view_ptr view_ ABSL_GUARDED_BY(view_mutex_);
    mutable mutex full_state_mutex_; ///< Locked before `state_mutex_`.
    mutable std::shared_ptr<const encoded_state> full_state_ ABSL_GUARDED_BY(full_state_mutex_);
    view_observer observer_;
};

} // namespace berylcrank
