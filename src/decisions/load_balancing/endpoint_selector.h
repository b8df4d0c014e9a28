// Chooses the candidates for an attempt: the two endpoints with the lowest cost among a sample of
// eligible ones, which starts with the preferred endpoints.
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
                     const ConcurrencyLimiter& limiter, const OutlierDetector& outlier_detector,
                     const HealthChecker& health_checker);

    // Empty if no endpoint can take the request. An endpoint in slow start that is admitted is the
    // only candidate.
    CandidateList select_candidates(const RequestState& request);
    // The candidate with the lowest cost that can take the request after its health checks, or
    // null.
    Endpoint* best_checked_candidate(const RequestState& request) const;

  private:
    // Grows with the expected response time of one more request at the endpoint. `in_flight`: its
    // requests in flight by the InFlightEstimator.
    double expected_cost(const Endpoint& endpoint, double in_flight) const;
    // The expected cost with the factors of the request: another zone, the endpoint of the last
    // attempt, an avoided kind. Each call draws a random number.
    double request_cost(const RequestState& request, const Endpoint& endpoint, double in_flight);
    // Whether the endpoint may get the request, regardless of its load.
    bool is_eligible(const RequestState& request, const Endpoint& endpoint) const;

    const DecisionContext& context_;
    RandomSource& random_;
    EndpointTable& endpoints_;
    SlowStart& slow_start_;
    const InFlightEstimator& estimator_;
    const ConcurrencyLimiter& limiter_;
    const OutlierDetector& outlier_detector_;
    const HealthChecker& health_checker_;
};

}  // namespace silverreach
