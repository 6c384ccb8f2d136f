#include "modules/berylcrank_balance/warmup/warmup_limiter.h"

namespace berylcrank {

namespace {

constexpr double node_share = 0.48; // share of the limit per node; two nodes together stay below it

} // namespace

bool warmup_limiter::allows(std::uint32_t number, double max_per_second, instant now) {
    auto& sends = sends_[number];
    while (!sends.empty() && sends.front() + window <= now) {
        sends.pop_front();
    }
    return static_cast<double>(sends.size()) + 1 <= max_per_second * node_share;
}

} // namespace berylcrank
