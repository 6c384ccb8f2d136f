#pragma once

#include "modules/berylcrank_config/state/config_state.h"
#include "modules/berylcrank_core/sync/mutex.h"
#include "modules/berylcrank_platform/log/log_service.h"

#include <functional>
#include <memory>
#include <span>

namespace berylcrank {

/** Which tickets are in force at a node, and why others are not. @see config_follower::read_back */
struct config_read_back {
    std::uint64_t applied{0}; ///< One past the last applied log offset.
    std::uint64_t digest{0};  ///< Equal on nodes with the same configuration.
    std::uint64_t floor{0};   ///< Tickets with numbers up to this one are rejected.
    bool has_gap{false};      ///< Records were trimmed before this node read them.
    apply_counters counters;
    std::vector<ticket_outcome> outcomes; ///< Highest numbers first.
};

/** The configuration state of a node behind a lock, and its published view.

    `view` never waits for work on the state. Safe from any thread.
    @see config_follower
*/
class shared_config {
public:
    /** Called after a change with the new view, on the thread that made the change. */
    using view_observer = std::function<void(const config_view_ptr&)>;

    explicit shared_config(view_observer observer);

    /** The current view; never null. */
    [[nodiscard]] config_view_ptr view() const;

    /** Applies records that follow the applied ones, then publishes the view. */
    void apply(std::span<const log_record> records);

    /** Looks for snapshots only; true if one was joined. */
    bool scan(std::span<const log_record> records);

    /** @see config_state::skip_to */
    void skip_to(std::uint64_t offset);

    /** Joins an encoded snapshot or peer delta; false if it is malformed or was refused. */
    bool join(std::string_view encoded, bool allow_gap);

    /** Encoded changes for a peer that includes all offsets below `from`. The whole state is encoded once for
       all peers that need it; at 30,000 upstreams that takes about 35 ms, without the state's lock. */
    [[nodiscard]] std::string delta_since(std::uint64_t from) const;

    /** The whole encoded state and the end of the offsets that it includes. */
    [[nodiscard]] std::pair<std::string, std::uint64_t> snapshot() const;

    [[nodiscard]] std::uint64_t applied() const;
    [[nodiscard]] std::uint64_t first_missing() const;
    [[nodiscard]] std::optional<logged_snapshot> newest_snapshot() const;
    [[nodiscard]] config_read_back read_back(std::size_t limit) const;

    /** Outcomes of one ticket number; empty if it was not seen or is at or below the floor. */
    [[nodiscard]] std::vector<ticket_outcome> outcomes_of(std::uint64_t number) const;

private:
    /** A whole state as it is sent to peers and written to the log. */
    struct whole_state {
        std::string encoded;
        std::uint64_t applied{0};
        std::uint64_t digest{0};
    };

    [[nodiscard]] std::shared_ptr<const whole_state> encode_whole() const;
    void publish();

    mutable mutex state_mutex_;
    config_state state_ ABSL_GUARDED_BY(state_mutex_);
    mutable mutex view_mutex_; ///< Held for a pointer copy only.
    config_view_ptr view_ ABSL_GUARDED_BY(view_mutex_);
    mutable mutex whole_mutex_; ///< Taken before `state_mutex_`.
    mutable std::shared_ptr<const whole_state> whole_ ABSL_GUARDED_BY(whole_mutex_);
    view_observer observer_;
};

} // namespace berylcrank
