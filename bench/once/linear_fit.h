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

/** Least-squares line `y = intercept + slope * x`. */
struct linear_fit {
    double intercept{0};
    double slope{0};
    double r_squared{0}; ///< Coefficient of determination; 1 if all points lie on the line.
};

/** Fits a line to the points. At least two points must differ in `x`. */
linear_fit fit(std::span<const point> points);

/** Returns the nearest-rank percentile, where `share` in [0, 1] is the rank as a fraction. Sorts `values`,
    which must not be empty. */
double percentile(std::vector<double>& values, double share);

} // namespace berylcrank::bench
