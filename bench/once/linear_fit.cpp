#include "bench/once/linear_fit.h"

#include <algorithm>
#include <cmath>

namespace berylcrank::bench {

linear_fit fit(std::span<const point> points) {
    const auto n = static_cast<double>(points.size());
    double sum_x = 0;
    double sum_y = 0;
    for (const auto& point : points) {
        sum_x += point.x;
        sum_y += point.y;
    }
    double xx = 0;
    double xy = 0;
    double yy = 0;
    for (const auto& point : points) {
        const double dx = point.x - sum_x / n;
        const double dy = point.y - sum_y / n;
        xx += dx * dx;
        xy += dx * dy;
        yy += dy * dy;
    }
    const double slope = xy / xx;
    return {.intercept = sum_y / n - slope * sum_x / n,
            .slope = slope,
            .r_squared = yy > 0 ? xy * xy / (xx * yy) : 1};
}

double percentile(std::vector<double>& values, double share) {
    std::ranges::sort(values);
    const auto rank = static_cast<std::size_t>(std::ceil(share * static_cast<double>(values.size())));
    return values[std::max<std::size_t>(rank, 1) - 1];
}

} // namespace berylcrank::bench
