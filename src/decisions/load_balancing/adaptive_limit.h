// Additive increase and multiplicative decrease of a limit on attempts in flight.
#pragma once

#include <algorithm>

namespace silverreach {

inline constexpr double max_adaptive_limit = 128;  // attempts
inline constexpr double limit_decrease_factor = 0.9;
// Attempts; divided by the limit, for each success near the limit.
inline constexpr double limit_increase = 1;

inline double decreased_limit(double limit, double min_limit) {
    return std::max(min_limit, limit * limit_decrease_factor);
}
inline double increased_limit(double limit) {
    return std::min(max_adaptive_limit, limit + std::min(limit_increase / limit, limit / 4));
}

}  // namespace silverreach
