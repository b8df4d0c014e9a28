// Health checks before an attempt. They stand in for responses where this instance sees few of an
// endpoint's: up to two candidates of a request are checked, the first idle one is taken, the
// better one after a short wait.
#pragma once

#include <vector>

#include "decisions/decision_context.h"
#include "decisions/load_balancing/concurrency_limiter.h"
#include "decisions/load_balancing/in_flight_estimator.h"
#include "decisions/load_balancing/outlier_detector.h"
#include "decisions/request_state.h"

namespace silverreach {

class HealthChecker {
  public:
    static constexpr double sufficient_responses = 10;  // recent ones, that make a check needless
    static constexpr int max_rounds = 2;                // of checks for one request

    HealthChecker(DecisionContext& context, const InFlightEstimator& estimator,
                  const ConcurrencyLimiter& limiter, const OutlierDetector& outliers)
        : context_(context), estimator_(estimator), limiter_(limiter), outliers_(outliers) {}

    // Whether the endpoint's own statistics suffice to send to it without a check.
    bool has_sufficient_samples(const Endpoint& endpoint) const {
        return !context_.settings.may_health_check ||
               endpoint.recent_responses(context_.now) >= sufficient_responses;
    }
    // Whether the endpoint can take an attempt. One that just reported no queue can, whatever the
    // limits say.
    bool has_capacity(const Endpoint& endpoint) const;

    // Checks the candidates of the request; each endpoint has one check in flight at most. A timer
    // ends the wait for them.
    void start(RequestState& request);
    // Takes in a result; returns the requests that waited for it.
    std::vector<RequestId> on_ended(Endpoint& endpoint, const HealthCheckEnded& ended);

  private:
    DecisionContext& context_;
    const InFlightEstimator& estimator_;
    const ConcurrencyLimiter& limiter_;
    const OutlierDetector& outliers_;
};

}  // namespace silverreach
