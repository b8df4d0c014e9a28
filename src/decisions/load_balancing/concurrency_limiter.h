// The concurrency limit of an endpoint: the attempts of all instances that may be in flight there.
#pragma once

#include "decisions/decision_context.h"
#include "decisions/load_balancing/attempt_assessment.h"
#include "decisions/load_balancing/in_flight_estimator.h"
#include "decisions/load_balancing/in_flight_window.h"

namespace silverreach {

class ConcurrencyLimiter {
  public:
    ConcurrencyLimiter(const DecisionContext& context, const InFlightEstimator& estimator,
                       const InFlightWindow& window)
        : context_(context), estimator_(estimator), window_(window) {}

    // The endpoint's own limit and the limit of an average endpoint, weighted by the number of
    // recent responses from the endpoint.
    double limit(const Endpoint& endpoint) const;
    bool at_limit(const Endpoint& endpoint) const {
        return estimator_.in_flight(endpoint) >= limit(endpoint);
    }
    // Adapts the endpoint's own limit to the outcome of an attempt.
    void on_outcome(Endpoint& endpoint, const AttemptAssessment& assessment);

  private:
    const DecisionContext& context_;
    const InFlightEstimator& estimator_;
    const InFlightWindow& window_;
};

}  // namespace silverreach
