#include "decisions/quota/demand_estimator.h"

#include <algorithm>
#include <cmath>

#include "decisions/quota/lease_codec.h"

namespace silverreach {
namespace {

constexpr double time_constant_s = 2;  // of the decay
// Units expected since the last request above which the demand counts as ended. If requests cost
// one unit and arrive independently, a gap of this length occurs with a probability of e^-3.5, 3%.
constexpr double missing_units_when_ended = 3.5;

}  // namespace

void DemandEstimator::add_request(Micros now, double units) {
    units_.add(units, now, time_constant_s);
    last_request_at_ = now;
}

double DemandEstimator::rate(Micros now) const {
    const double observed_s = std::max(seconds(now - first_request_at_), time_constant_s);
    // A counter that started less than several time constants ago has not reached its full value
    // yet.
    const double effective_time_constant_s =
        time_constant_s * (1 - std::exp(-observed_s / time_constant_s));
    const double rate = units_.value(now, time_constant_s) / effective_time_constant_s;
    if (rate * seconds(now - last_request_at_) > missing_units_when_ended) return 0;
    return std::ceil(rate / lease_unit_step) * lease_unit_step;
}

double DemandEstimator::mean_rate(Micros now) const {
    return units_.value(now, time_constant_s) / time_constant_s;
}

}  // namespace silverreach
