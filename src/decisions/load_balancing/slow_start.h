// Slow start: an endpoint that started recently gets a share of the traffic that grows with its
// age.
#pragma once

#include <algorithm>
#include <cstddef>

#include "decisions/decision_context.h"
#include "decisions/load_balancing/endpoint.h"
#include "decisions/random_source.h"

namespace silverreach {

// Share of its full capacity that the endpoint has reached at its age; 1 once it is warm.
inline double capacity_share(const Endpoint& endpoint, const Settings& settings, Micros now) {
    if (endpoint.slow_start_began_at <= Micros{0} || settings.slow_start_window <= Micros{0})
        return 1;
    const double relative_age =
        seconds(now - endpoint.slow_start_began_at) / seconds(settings.slow_start_window);
    if (relative_age >= 1) return 1;
    const double initial_share = settings.initial_capacity_share;
    return initial_share + (1 - initial_share) * std::max(0.0, relative_age);
}

class SlowStart {
  public:
    SlowStart(const DecisionContext& context, RandomSource& random)
        : context_(context), random_(random) {}

    // Whether an endpoint in slow start may take a request of `units` now. Admits at random with
    // the probability that yields the rate of a warm endpoint, scaled by the endpoint's capacity
    // and the overload factor. The rate holds for any number of instances together, and includes
    // retries.
    bool admit_during_slow_start(Endpoint& endpoint, double units);
    // `warm_count`: warm endpoints in the list.
    void on_attempt_sent(const Endpoint& endpoint, double units, std::size_t warm_count);

  private:
    const DecisionContext& context_;
    RandomSource& random_;
    Micros last_sent_at_{0};
    DecayingCounter warm_units_;   // units sent to warm endpoints
    DecayingCounter warm_time_s_;  // seconds for which endpoints were warm, summed over endpoints
    double warm_rate_ = 0;         // units per second that a warm endpoint gets from this instance
};

}  // namespace silverreach
