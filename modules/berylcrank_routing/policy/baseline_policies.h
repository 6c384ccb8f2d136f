#pragma once

#include "modules/berylcrank_routing/policy/upstream_policy.h"

namespace berylcrank {

/** Chooses an upstream uniformly at random. */
class random_policy final : public upstream_policy {
public:
    std::size_t choose(std::span<const candidate_view> candidates, random_source& random) override;
};

/** Chooses the upstream with the next higher id, wrapping around. */
class round_robin_policy final : public upstream_policy {
public:
    std::size_t choose(std::span<const candidate_view> candidates, random_source& random) override;

private:
    std::uint32_t last_{0};
};

/** Chooses the upstream with the fewest requests of this node in flight; ties are broken at random. */
class least_in_flight_policy final : public upstream_policy {
public:
    std::size_t choose(std::span<const candidate_view> candidates, random_source& random) override;
};

/** Chooses the less loaded of two random upstreams, by requests of this node in flight or by the last load
    report. */
class power_of_two_policy final : public upstream_policy {
public:
    explicit power_of_two_policy(bool uses_reports) : uses_reports_(uses_reports) {}
    std::size_t choose(std::span<const candidate_view> candidates, random_source& random) override;

private:
    bool uses_reports_;
};

} // namespace berylcrank
