#include "decisions/load_balancing/slow_start.h"

#include <utility>

#include "decisions/load_balancing/endpoint_table.h"

namespace silverreach {
namespace {
using namespace std::chrono_literals;

constexpr double warm_rate_decay_s = 30;
constexpr double warm_time_prior_s = 5;  // keeps the rate low while little warm time is known
// Share of the rate that would overload the endpoint. The margin allows for requests that cost more
// than their units.
constexpr double safe_rate_share = 0.5;
// Limit of the time since the last decision on an endpoint, or since the last attempt sent.
constexpr Micros max_elapsed_time = 5s;
}  // namespace

bool SlowStart::admit_during_slow_start(Endpoint& endpoint, double units) {
    const double rate = safe_rate_share * context_.settings.overload_factor *
                        capacity_share(endpoint, context_.settings, context_.now) * warm_rate_;
    const Micros previous_decision_at = std::exchange(endpoint.last_decision_at, context_.now);
    const Micros elapsed = std::min(context_.now - previous_decision_at, max_elapsed_time);
    return random_.uniform() * std::max(units, 1e-3) < rate * seconds(elapsed);
}

// The rate is a mean over the time for which endpoints were warm, so that it does not follow the
// load of the few warm endpoints while most are in slow start.
void SlowStart::on_attempt_sent(const Endpoint& endpoint, double units, std::size_t warm_count) {
    const Micros now = context_.now;
    const auto used_warm_count = static_cast<double>(std::min(warm_count, preferred_endpoints));
    const Micros elapsed = std::min(now - std::exchange(last_sent_at_, now), max_elapsed_time);
    warm_time_s_.add(used_warm_count * seconds(elapsed), now, warm_rate_decay_s);
    if (capacity_share(endpoint, context_.settings, now) >= 1)
        warm_units_.add(units, now, warm_rate_decay_s);
    const double warm_time_s = warm_time_s_.value(now, warm_rate_decay_s) + warm_time_prior_s;
    warm_rate_ = warm_units_.value(now, warm_rate_decay_s) / warm_time_s;
}

}  // namespace silverreach
