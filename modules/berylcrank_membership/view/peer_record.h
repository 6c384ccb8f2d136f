#pragma once

#include "modules/berylcrank_membership/view/peer_state.h"

#include <vector>

namespace berylcrank {

/** State of one vm in a `peer_view`. Not thread-safe; guarded by the lock of the view. */
class peer_record {
public:
    /** Report that a call from `observer` to this vm got no response. */
    struct silence_report {
        incarnation observer;
        instant at;
    };

    /** Records a heartbeat, received directly or through another node. Removes all silence reports that are
        not newer. */
    void record_heartbeat(instant at);

    /** Adds a silence report, or updates the one of the same observer. Reports that are not newer than the
        last heartbeat are ignored. */
    void add_silence_report(incarnation observer, instant at);

    /** Returns the number of observers with a silence report that is newer than the last heartbeat and not
        older than `oldest`. */
    [[nodiscard]] std::size_t count_silence_reports(instant oldest) const;

    /** Returns true if `observer` has reported silence since the last heartbeat. */
    [[nodiscard]] bool has_silence_report_from(incarnation observer) const;

    /** Returns the time of the last heartbeat, or the time when the vm became known if there was none. */
    [[nodiscard]] instant last_seen() const { return last_heartbeat.value_or(first_seen); }

    peer_info info;
    instant first_seen;
    std::optional<instant> last_heartbeat;
    /** Last change of run, addresses, failure domain, `starting` or `leaving`. Recent changes are sent first
        and in full. */
    instant changed_at;
    bool is_listed{false};
    bool is_delisted{false}; ///< Was on the VM list before but no longer is.
    bool vm_leaving{false};  ///< The VM list marks the vm as leaving.
    bool is_gone{false};     ///< The run has ended.
    bool is_proven{false};   ///< This node observed the end of the run itself.
    instant gone_at;
    incarnation previous_run; ///< The run before this one on the same vm, until its end is proven.
    std::string previous_address;

private:
    std::vector<silence_report> silence_reports_;
};

} // namespace berylcrank
