#include "modules/berylcrank_balance/warmup/warmup_limiter.h"

namespace berylcrank {

namespace {

constexpr double share = 0.48; // of the bound: two nodes at once stay below it

} // namespace

bool warmup_limiter::allows(std::uint32_t number, double most, instant now) {
    auto& sends = sends_[number];
    while (!sends.empty() && sends.front() + span <= now) {
        sends.pop_front();
    }
    return static_cast<double>(sends.size()) + 1 <= most * share;
}

} // namespace berylcrank
