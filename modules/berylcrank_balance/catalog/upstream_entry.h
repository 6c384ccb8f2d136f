#pragma once

#include "modules/berylcrank_core/time/millis.h"

#include <cstdint>
#include <string>

namespace berylcrank {

/** An upstream's registration, as it stands in the platform's store. */
struct upstream_entry {
    std::string id;
    std::string service;
    std::string address; ///< "IP:PORT"
    std::string failure_domain;
    std::string software_version;
    int slots{1};
    bool draining{false};
    millis cold_left;               ///< How much longer it stays cold, when it wrote this.
    std::uint64_t sequence{0};      ///< Grows with each registration of one start.
    std::uint64_t start_time_ms{0}; ///< Unix milliseconds of its start; 0 if it does not say.
};

} // namespace berylcrank
