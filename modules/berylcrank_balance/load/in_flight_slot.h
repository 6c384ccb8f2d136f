#pragma once

#include "modules/berylcrank_balance/load/load_tracker.h"

#include <utility>

namespace berylcrank {

/** A request in flight at an upstream, counted by a load_tracker from the construction of this object to its
    release or destruction. The owner of a request cannot end without ending the count. */
class in_flight_slot {
public:
    /** Counts nothing. */
    in_flight_slot() = default;
    /** Counts a request at `upstream`. `loads` must outlive this object. */
    in_flight_slot(load_tracker& loads, std::uint32_t upstream) : loads_(&loads), upstream_(upstream) {
        loads.sent(upstream);
    }
    in_flight_slot(in_flight_slot&& other) noexcept
        : loads_(std::exchange(other.loads_, nullptr)), upstream_(other.upstream_) {}
    in_flight_slot& operator=(in_flight_slot&& other) noexcept {
        std::swap(loads_, other.loads_);
        std::swap(upstream_, other.upstream_);
        return *this;
    }
    in_flight_slot(const in_flight_slot&) = delete;
    in_flight_slot& operator=(const in_flight_slot&) = delete;
    ~in_flight_slot() { release(); }

    /** Ends the count. Has no effect afterwards. */
    void release() {
        if (auto* loads = std::exchange(loads_, nullptr)) {
            loads->ended(upstream_);
        }
    }

private:
    load_tracker* loads_{nullptr};
    std::uint32_t upstream_{0};
};

} // namespace berylcrank
