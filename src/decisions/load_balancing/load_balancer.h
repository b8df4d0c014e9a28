// Load balancing over the endpoints: chooses the endpoint of an attempt and updates the state of
// endpoints by the outcomes of attempts and health checks. Owns the endpoints and the classes that
// decide on them.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "decisions/decision_context.h"
#include "decisions/load_balancing/attempt_assessment.h"
#include "decisions/load_balancing/endpoint_selector.h"
#include "decisions/load_balancing/endpoint_table.h"
#include "decisions/load_balancing/health_checker.h"
#include "decisions/load_balancing/in_flight_window.h"
#include "decisions/load_balancing/outlier_detector.h"
#include "decisions/load_balancing/slow_start.h"
#include "decisions/request_state.h"

namespace silverreach {

enum class PlacementStatus {
    no_capacity,             // no endpoint can take the request now
    endpoint_chosen,         // `endpoint` gets the request
    health_checks_in_flight  // its candidates are being checked
};
struct Placement {
    PlacementStatus status = PlacementStatus::no_capacity;
    Endpoint* endpoint = nullptr;
};

class LoadBalancer {
  public:
    LoadBalancer(DecisionContext& context, RandomSource& random);

    // Invalidates pointers to endpoints.
    void on_endpoints_changed(const EndpointsChanged& change) { endpoints_.update(change); }
    // Drops start times of endpoints that left the list long ago, counts the warm endpoints again
    // and rebuilds the order of the endpoints. Removes no endpoint.
    void refresh_endpoints();
    // Null if the endpoint is not known.
    Endpoint* find(const std::string& endpoint) { return endpoints_.find(endpoint); }
    std::size_t endpoint_count() const { return endpoints_.size(); }
    const OutlierDetector& outlier_detector() const { return outlier_detector_; }

    // Chooses the endpoint for an attempt, or starts health checks of the request's candidates.
    Placement place(RequestState& request);
    // The best candidate after health checks, or null if none can take the request.
    Endpoint* best_checked_candidate(const RequestState& request) const {
        return selector_.best_checked_candidate(request);
    }
    // Whether the request can be sent to the endpoint without waiting for the check of its other
    // candidate. Call this after a successful health check of the endpoint.
    bool is_idle_candidate(const RequestState& request, const Endpoint& endpoint) const;

    void on_attempt_sent(Endpoint& endpoint, const RequestState& request);
    // `request`: null if it already has its final response. Returns no assessment while this
    // process is stalled, when outcomes are not meaningful.
    std::optional<AttemptAssessment> on_attempt_ended(Endpoint& endpoint,
                                                      const RequestState* request,
                                                      const AttemptEnded& ended);
    // Returns the requests that waited for the check.
    std::vector<RequestId> on_health_check_ended(Endpoint& endpoint,
                                                 const HealthCheckEnded& ended) {
        return health_checker_.on_ended(endpoint, ended);
    }

  private:
    AttemptAssessment record_outcome(Endpoint& endpoint, const AttemptEnded& ended,
                                     double latency_objective_s);

    DecisionContext& context_;
    EndpointTable endpoints_;
    SlowStart slow_start_;
    InFlightEstimator estimator_;
    InFlightWindow window_;
    ConcurrencyLimiter limiter_;
    OutlierDetector outlier_detector_;
    HealthChecker health_checker_;
    EndpointSelector selector_;
};

}  // namespace silverreach
