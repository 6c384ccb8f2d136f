#include "modules/berylcrank_balance/config/weighted_split.h"

#include <algorithm>
#include <cmath>

namespace berylcrank {

namespace {

double positive_weight(const traffic_part& it) {
    return std::isfinite(it.weight) ? std::max(it.weight, 0.0) : 0.0;
}

// Computes the fraction of each part. Dividing by the largest weight first keeps the sum finite.
class fraction_scale {
public:
    explicit fraction_scale(std::span<const traffic_part> parts) : count_(parts.size()) {
        for (const auto& it : parts) {
            largest_ = std::max(largest_, positive_weight(it));
        }
        for (const auto& it : parts) {
            total_ += relative(it);
        }
    }

    [[nodiscard]] double fraction(const traffic_part& it) const {
        return largest_ > 0 ? relative(it) / total_ : 1.0 / static_cast<double>(count_);
    }

private:
    [[nodiscard]] double relative(const traffic_part& it) const {
        return largest_ > 0 ? positive_weight(it) / largest_ : 0.0;
    }

    std::size_t count_;
    double largest_{0};
    double total_{0};
};

} // namespace

weighted_split::sequence& weighted_split::sequence_of(const std::string& name,
                                                      std::span<const traffic_part> parts) {
    const fraction_scale scale(parts);
    auto& shares = sequences_[name];
    const bool is_same =
        std::equal(shares.begin(), shares.end(), parts.begin(), parts.end(),
                   [&](const share& known, const traffic_part& it) {
                       return known.service == it.service && known.fraction == scale.fraction(it);
                   });
    if (!is_same) {
        shares.clear();
        for (const auto& it : parts) {
            shares.push_back({.service = it.service, .fraction = scale.fraction(it)});
        }
        const auto is_used = [](const share& it) { return it.fraction > 0; };
        std::find_if(shares.begin(), shares.end(), is_used)->credit += phase_;
        std::find_if(shares.rbegin(), shares.rend(), is_used)->credit -= phase_;
    }
    return shares;
}

const traffic_part& weighted_split::pick(const std::string& name, std::span<const traffic_part> parts) {
    if (parts.size() == 1) {
        return parts.front();
    }
    auto& shares = sequence_of(name, parts);
    std::size_t best = parts.size();
    for (std::size_t i = 0; i < shares.size(); ++i) {
        auto& it = shares[i];
        it.credit += it.fraction;
        if (it.fraction > 0 && (best == parts.size() || it.credit > shares[best].credit)) {
            best = i;
        }
    }
    shares[best].credit -= 1;
    return parts[best];
}

} // namespace berylcrank
