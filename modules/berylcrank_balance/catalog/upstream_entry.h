#pragma once

#include "modules/berylcrank_core/time/millis.h"

#include <cstdint>
#include <string>

namespace berylcrank {

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
};

} // namespace berylcrank
