// Health checks before an attempt, for endpoints from which this instance has few recent responses.
// Up to two candidates of a request are checked. The first one without queued requests gets the
// request; when all checks have ended or a short timeout expires, the better candidate gets it.
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
    static constexpr double sufficient_responses = 10;  // recent ones; make a check unnecessary
    static constexpr int max_rounds = 2;                // rounds of checks for one request

    HealthChecker(DecisionContext& context, const InFlightEstimator& estimator,
                  const ConcurrencyLimiter& limiter, const OutlierDetector& outlier_detector)
        : context_(context),
          estimator_(estimator),
          limiter_(limiter),
          outlier_detector_(outlier_detector) {}

    // Whether the endpoint's own statistics suffice to send an attempt without a check.
    bool has_sufficient_samples(const Endpoint& endpoint) const {
        return !context_.settings.may_health_check ||
               endpoint.recent_responses(context_.now) >= sufficient_responses;
    }
    // Whether the endpoint can take an attempt. One that just reported an empty queue, but not its
    // requests in flight, can do so regardless of its limit.
    bool has_capacity(const Endpoint& endpoint) const;

    // Starts health checks of the request's candidates and a timer that ends the wait for them.
    // Each endpoint has at most one check in flight.
    void start(RequestState& request);
    // Handles the result of a check; returns the requests that waited for it.
    std::vector<RequestId> on_ended(Endpoint& endpoint, const HealthCheckEnded& ended);

  private:
    DecisionContext& context_;
    const InFlightEstimator& estimator_;
    const ConcurrencyLimiter& limiter_;
    const OutlierDetector& outlier_detector_;
};

}  // namespace silverreach
