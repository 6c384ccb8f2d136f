#pragma once

#include "modules/berylcrank_core/random/random_source.h"
#include "modules/berylcrank_core/time/instant.h"

#include <cstdint>

namespace berylcrank {

/** Limits how often one node probes one upstream, so that the probes of all nodes together stay within a
    share of the upstream's time.

    Each node gets an equal part of the share, for the largest plausible number of nodes. The result does
    not depend on the node's view of its peers. Two probes of a node start at least `interval` apart, so in
    any window of that length, or of a multiple of it, all nodes together stay within the budget. A new
    budget starts empty, so a restart gains no extra probes, and its first probe is at a random time, so
    nodes do not probe in step.
    @see service_router
*/
class probe_budget {
public:
    struct options {
        double percent{0};           ///< Share of the upstream's time for the probes of all nodes.
        std::uint32_t max_nodes{17}; ///< Largest plausible number of nodes.
        millis cost{6};              ///< Assumed duration of a probe; a longer one is charged as measured.
    };

    probe_budget(const options& opts, random_source& random, instant now);

    /** True if `try_start` would succeed. */
    [[nodiscard]] bool is_due(instant now) const {
        return !is_running_ && options_.percent > 0 && now >= next_start_;
    }

    /** Charges a probe and marks it as running; false if none is due. Call `on_done` when the probe ends. */
    bool try_start(instant now);

    /** Records that the probe ended after `duration`, successfully or not. */
    void on_done(millis duration);

    /** Minimum time between the starts of two probes that take `cost`; without a budget, the time until
        `instant::never`. */
    [[nodiscard]] millis interval(millis cost) const;

    /** Total time charged. */
    [[nodiscard]] millis charged() const { return charged_; }

    /** Changes the share. This never moves the next probe to an earlier time. */
    void set_percent(double percent, instant now);

private:
    options options_;
    instant last_start_;
    instant next_start_;
    millis charged_;
    bool is_running_{false};
};

} // namespace berylcrank
