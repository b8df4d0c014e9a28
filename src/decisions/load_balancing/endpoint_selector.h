// Chooses the endpoints for an attempt: the two of the lowest expected cost among some eligible
// ones, preferred endpoints first.
#pragma once

#include "decisions/decision_context.h"
#include "decisions/load_balancing/candidate_list.h"
#include "decisions/load_balancing/endpoint_table.h"
#include "decisions/load_balancing/health_checker.h"
#include "decisions/load_balancing/slow_start.h"
#include "decisions/random_source.h"
#include "decisions/request_state.h"

namespace silverreach {

class EndpointSelector {
  public:
    EndpointSelector(const DecisionContext& context, RandomSource& random, EndpointTable& endpoints,
                     SlowStart& slow_start, const InFlightEstimator& estimator,
                     const ConcurrencyLimiter& limiter, const OutlierDetector& outliers,
                     const HealthChecker& health_checker);

    // Empty where no endpoint can take the request. An endpoint in slow start whose turn it is
    // comes alone.
    CandidateList select_candidates(const RequestState& request);
    // The cheapest candidate that can take the request after its health checks; null: none.
    Endpoint* best_checked(const RequestState& request) const;

  private:
    // Grows with the time that one more request would take at the endpoint.
    double expected_cost(const Endpoint& endpoint) const;
    // The expected cost with what the request adds to it: zone, repetition, avoidance. Draws.
    double request_cost(const RequestState& request, const Endpoint& endpoint);
    bool is_eligible(const RequestState& request, const Endpoint& endpoint) const;

    const DecisionContext& context_;
    RandomSource& random_;
    EndpointTable& endpoints_;
    SlowStart& slow_start_;
    const InFlightEstimator& estimator_;
    const ConcurrencyLimiter& limiter_;
    const OutlierDetector& outliers_;
    const HealthChecker& health_checker_;
};

}  // namespace silverreach
