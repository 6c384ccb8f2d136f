#pragma once

#include "modules/berylcrank_core/time/millis.h"

#include <compare>
#include <cstdint>
#include <string>

namespace berylcrank {

/** Order in which the registrations of one upstream were written. */
struct registration_order {
    std::uint64_t start_time_ms{0};
    std::uint64_t sequence{0};
    // NOLINTNEXTLINE(modernize-use-nullptr): false report
    friend auto operator<=>(const registration_order&, const registration_order&) = default;
};

/** An upstream's registration in the platform's store. */
struct upstream_entry {
    std::string id;
    std::string service;
    std::string address; ///< "IP:PORT"
    std::string failure_domain;
    std::string software_version;
    int slots{1};
    bool draining{false};
    millis cold_left;               ///< Remaining warm-up time when the registration was written.
    std::uint64_t sequence{0};      ///< Increases with each registration since one start.
    std::uint64_t start_time_ms{0}; ///< Start time in Unix milliseconds; 0 if not stated.
    std::uint64_t epoch{0};         ///< Epoch of the store that holds the registration.

    [[nodiscard]] registration_order order() const {
        return {.start_time_ms = start_time_ms, .sequence = sequence};
    }
};

} // namespace berylcrank
