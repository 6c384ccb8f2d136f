#pragma once

#include "modules/berylcrank_routing/cold/cold_permit.h"
#include "modules/berylcrank_routing/cold/permit.h"
#include "modules/berylcrank_routing/cold/upstream_warm_state.h"

#include <cstdint>
#include <optional>
#include <string>

namespace berylcrank {

/** How an attempt ended, as far as cold admission cares. @see cold_gate::finish */
enum class cold_outcome : std::uint8_t {
    not_sent,        ///< Connect failure or denied; no byte was sent.
    success,         ///< Whole answer to a request that did work; counts toward `warm_requests`.
    completed,       ///< Whole answer that does not count: shed, error, or an answer to a probe.
    connection_lost, ///< The upstream closed or reset the connection.
    abandoned,       ///< Timed out, stalled, cancelled or refused here: the upstream may still be working.
};

/** Cold admission state of one attempt, owned by the attempt and passed to `cold_gate`. Used by one thread at
    a time. @see cold_gate */
class cold_attempt {
public:
    explicit cold_attempt(std::string upstream) : upstream_(std::move(upstream)) {}

    /** Adds a permit.
        @param run_limit Time after the first byte in which the upstream itself ends the request, as written
               into `Berylcrank-Timeout-Ms`. A dispatcher that is paused cannot cancel, so only a limit kept
               by the upstream ends the request within the permit. */
    void set_permit(cold_permit it, millis run_limit) {
        permit_ = std::move(it);
        run_limit_ = run_limit;
    }

    [[nodiscard]] const std::string& upstream() const { return upstream_; }
    [[nodiscard]] const std::optional<cold_permit>& permit() const { return permit_; }

    /** True if it was sent on a connection that was not verified. */
    [[nodiscard]] bool is_permitted() const { return is_permitted_; }

private:
    friend class cold_gate;

    std::string upstream_;
    std::optional<cold_permit> permit_;
    millis run_limit_;
    upstream_warm_state::link link_;
    bool is_planned_{false};
    bool is_sent_{false};
    bool is_permitted_{false};
    bool is_cold_reported_{false};
    std::string named_; // Incarnation named by the answer.
};

} // namespace berylcrank
