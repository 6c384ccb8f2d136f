#pragma once

#include <span>
#include <string>
#include <vector>

namespace berylcrank::bench {

/** One measured point. @see linear_fit */
struct point {
    double x{0};
    double y{0};
};

/** Least-squares line `y = base + slope * x`. */
struct linear_fit {
    double base{0};
    double slope{0};
    double r_squared{0}; ///< 1 for points on the line.
};

/** Fits a line to at least two points with different `x`. */
linear_fit fit(std::span<const point> points);

/** Smallest value that is at least as large as `share` (0 to 1) of the values; sorts them. */
double percentile(std::vector<double>& values, double share);

} // namespace berylcrank::bench
