#pragma once

#include "modules/berylcrank_routing/cold/cold_permit.h"
#include "modules/berylcrank_routing/cold/permit.h"
#include "modules/berylcrank_routing/cold/upstream_warm_state.h"

#include <cstdint>
#include <optional>
#include <string>

namespace berylcrank {

/** Outcome of an attempt for cold admission. @see cold_gate::finish */
enum class cold_outcome : std::uint8_t {
    not_sent,        ///< Connect failure or denied; no byte was sent.
    success,         ///< Complete response of a request that did work; counts toward `warm_requests`.
    completed,       ///< Complete response that does not count: shed, error, or the response to a probe.
    connection_lost, ///< The upstream closed or reset the connection.
    abandoned, ///< Timed out, stalled, cancelled or rejected by this node: the upstream may still run it.
};

/** Cold admission state of one attempt. The attempt owns it and passes it to `cold_gate`. Not thread-safe.
    @see cold_gate */
class cold_attempt {
public:
    explicit cold_attempt(std::string upstream) : upstream_(std::move(upstream)) {}

    /** Sets the permit.
        @param run_limit Time after the first byte within which the upstream itself ends the request, as
            sent in `Berylcrank-Timeout-Ms`. A dispatcher whose process is paused cannot cancel the request,
            so only a limit enforced by the upstream ends it before the permit expires. */
    void set_permit(cold_permit permit, millis run_limit) {
        permit_ = std::move(permit);
        run_limit_ = run_limit;
    }

    [[nodiscard]] const std::string& upstream() const { return upstream_; }
    [[nodiscard]] const std::optional<cold_permit>& permit() const { return permit_; }

    /** True if it was sent under a permit and its connection has not been verified since. */
    [[nodiscard]] bool is_permitted() const { return is_permitted_; }

private:
    friend class cold_gate;

    std::string upstream_;
    std::optional<cold_permit> permit_;
    millis run_limit_;
    upstream_warm_state::connection_id connection_;
    bool has_reservation_{false}; // Of an idle verified connection.
    bool is_sent_{false};
    bool is_permitted_{false};
    bool is_cold_reported_{false};
    std::string upstream_incarnation_; // Named by the response.
};

} // namespace berylcrank
