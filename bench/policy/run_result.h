#pragma once

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

namespace berylcrank::bench {

/** What one run measured. */
struct run_result {
    std::vector<float> latency_ms;  ///< Of the requests with a good answer.
    std::vector<float> queueing_ms; ///< Latency less service time.
    std::uint64_t requests{0};
    std::uint64_t lost{0};    ///< Failed after being sent.
    std::uint64_t refused{0}; ///< Refused by the node.
    std::uint64_t sheds{0};   ///< Shed answers.
    std::uint64_t attempts{0};
    std::uint64_t hedges{0};
    std::uint64_t late{0}; ///< Good answers after the deadline.
    std::uint64_t probes{0};
};

/** The value that `share` of `values` do not exceed; 0 if there are none. */
inline double percentile(std::vector<float> values, double share) {
    if (values.empty()) {
        return 0;
    }
    const auto n = static_cast<std::ptrdiff_t>(share * static_cast<double>(values.size() - 1));
    std::ranges::nth_element(values, values.begin() + n);
    return values[static_cast<std::size_t>(n)];
}

/** Median and spread over seeds. */
struct spread {
    double median{0};
    double least{0};
    double most{0};
};

inline spread spread_of(std::vector<double> values) {
    if (values.empty()) {
        return {};
    }
    std::ranges::sort(values);
    return {.median = values[values.size() / 2], .least = values.front(), .most = values.back()};
}

/** "median (least to most)" */
std::string text(const spread& it, int digits);

} // namespace berylcrank::bench
