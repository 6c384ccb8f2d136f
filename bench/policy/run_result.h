#pragma once

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

namespace berylcrank::bench {

/** Measurements of one run. */
struct run_result {
    std::vector<float> latency_ms;  ///< Of the requests with a successful response before the deadline.
    std::vector<float> queueing_ms; ///< Latency minus service time, of the same requests.
    std::uint64_t requests{0};
    std::uint64_t lost{0};    ///< Failed after at least one attempt.
    std::uint64_t refused{0}; ///< Refused by the node before the first attempt.
    std::uint64_t sheds{0};   ///< Attempts that the upstream shed.
    std::uint64_t attempts{0};
    std::uint64_t hedges{0};
    std::uint64_t late{0};   ///< Successful responses after the deadline.
    std::uint64_t probes{0}; ///< Probes of the whole run, also outside the measurement windows.
};

/** Percentile of `values`, where `share` in [0, 1] is the rank as a fraction; 0 if there are no values. */
inline double percentile(std::vector<float> values, double share) {
    if (values.empty()) {
        return 0;
    }
    const auto index = static_cast<std::ptrdiff_t>(share * static_cast<double>(values.size() - 1));
    std::ranges::nth_element(values, values.begin() + index);
    return values[static_cast<std::size_t>(index)];
}

/** Median and range over the runs with different seeds. */
struct spread {
    double median{0};
    double min{0};
    double max{0};
};

/** Computes median and range of `values`; zeros if there are none. */
inline spread compute_spread(std::vector<double> values) {
    if (values.empty()) {
        return {};
    }
    std::ranges::sort(values);
    return {.median = values[values.size() / 2], .min = values.front(), .max = values.back()};
}

/** Formats a spread as "median (min-max)" with `digits` decimals. */
std::string to_text(const spread& value, int digits);

} // namespace berylcrank::bench
