#include "decisions/quota/warming_up_limiter.h"

#include <algorithm>

#include "decisions/decaying_counter.h"

namespace silverreach {
namespace {

// Interval of a cold limiter as a multiple of the stable interval, as Guava's coldFactor.
constexpr double cold_factor = 3;

// Stored units above which the interval grows.
double threshold_units(double stable_s, double warmup_s) {
    return 0.5 * warmup_s / stable_s;
}
double max_stored_units(double stable_s, double warmup_s) {
    return threshold_units(stable_s, warmup_s) + 2 * warmup_s / (stable_s + cold_factor * stable_s);
}

}  // namespace

void WarmingUpLimiter::refill(Micros now, double stable_s, double warmup_s) {
    const double max_units = max_stored_units(stable_s, warmup_s);
    if (!is_started()) {
        stored_units_ = max_units;
        next_free_ = now;
    }
    if (now <= next_free_) return;
    stored_units_ =
        std::min(max_units, stored_units_ + seconds(now - next_free_) * max_units / warmup_s);
    next_free_ = now;
}

void WarmingUpLimiter::reserve(double units, double stable_s, double warmup_s) {
    const double threshold = threshold_units(stable_s, warmup_s);
    const double slope =
        (cold_factor - 1) * stable_s / (max_stored_units(stable_s, warmup_s) - threshold);
    const double stored_used = std::min(units, stored_units_);
    const double above_threshold = std::max(0.0, stored_units_ - threshold);
    const double warmup_units = std::min(above_threshold, stored_used);
    // Integral of the interval over the units taken above the threshold, where it is linear.
    const double warmup_cost_s =
        warmup_units * (2 * stable_s + slope * (2 * above_threshold - warmup_units)) / 2;
    next_free_ += micros(warmup_cost_s + stable_s * (stored_used - warmup_units) +
                         stable_s * (units - stored_used));
    stored_units_ -= stored_used;
}

}  // namespace silverreach
