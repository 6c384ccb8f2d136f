#include "modules/berylcrank_balance/config/weighted_split.h"

namespace berylcrank {

const traffic_part& weighted_split::pick(const std::string& name, std::span<const traffic_part> parts) {
    if (parts.size() == 1) {
        return parts.front();
    }
    double total = 0;
    for (const auto& it : parts) {
        total += it.weight;
    }
    auto& credits = credits_[name];
    if (credits.size() != parts.size()) {
        credits.assign(parts.size(), 0);
        credits.front() = total * phase_;
        credits.back() -= total * phase_;
    }
    std::size_t best = 0;
    for (std::size_t i = 0; i < parts.size(); ++i) {
        credits[i] += parts[i].weight;
        if (credits[i] > credits[best] || parts[best].weight <= 0) {
            best = i;
        }
    }
    credits[best] -= total;
    return parts[best];
}

} // namespace berylcrank
