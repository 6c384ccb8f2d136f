#pragma once

#include "modules/berylcrank_membership/view/peer_state.h"

#include <vector>

namespace berylcrank {

/** What the view stores about one vm. Not thread-safe; guarded by its `peer_view`. */
class peer_record {
public:
    /** A node that asked this one without an answer. */
    struct doubt {
        incarnation observer;
        instant at;
    };

    /** Takes newer news, direct or indirect; news of a peer ends all doubts that are older. */
    void hear(instant at);

    /** Counts `observer` as one that got no answer. */
    void add_doubt(incarnation observer, instant at);

    /** Different observers with a doubt newer than the last news and not older than `oldest`. */
    [[nodiscard]] std::size_t doubts(instant oldest) const;

    /** True if `observer` itself asked without an answer since the last news. */
    [[nodiscard]] bool is_doubted_by(incarnation observer) const;

    /** Last news, or the moment the vm was first listed. */
    [[nodiscard]] instant last_news() const { return heard.value_or(first_seen); }

    peer_info info;
    instant first_seen;
    std::optional<instant> heard;
    instant changed; ///< Last change of run, addresses, starting or leaving; such news is passed on first and
                     ///< in full.
    bool is_listed{false};
    bool is_delisted{false}; ///< Was on the VM list and is no longer.
    bool vm_leaving{false};
    bool is_gone{false};
    bool is_proven{false}; ///< The end of the run was observed, not inferred from what others say.
    instant gone_at;
    incarnation previous; ///< The run before this one on the same vm, until its end is proven.
    std::string previous_address;

private:
    std::vector<doubt> doubts_;
};

} // namespace berylcrank
