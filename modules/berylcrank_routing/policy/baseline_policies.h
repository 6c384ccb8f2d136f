#pragma once

#include "modules/berylcrank_routing/policy/upstream_policy.h"

namespace berylcrank {

/** A uniformly random upstream. */
class random_policy final : public upstream_policy {
public:
    std::size_t choose(std::span<const candidate_view> among, random_source& random) override;
};

/** The upstream with the next higher number, wrapping around. */
class round_robin_policy final : public upstream_policy {
public:
    std::size_t choose(std::span<const candidate_view> among, random_source& random) override;

private:
    std::uint32_t last_{0};
};

/** The upstream with the fewest own requests in flight; ties are broken at random. */
class least_in_flight_policy final : public upstream_policy {
public:
    std::size_t choose(std::span<const candidate_view> among, random_source& random) override;
};

/** The better of two random upstreams, by own requests in flight or by the last report. */
class power_of_two_policy final : public upstream_policy {
public:
    explicit power_of_two_policy(bool by_report) : by_report_(by_report) {}
    std::size_t choose(std::span<const candidate_view> among, random_source& random) override;

private:
    bool by_report_;
};

} // namespace berylcrank
