#include "decisions/load_balancing/load_balancer.h"

#include "decisions/response_speed.h"
#include "decisions/retry/retry_policy.h"

namespace silverreach {
namespace {
constexpr double response_sample_weight = 0.05;  // of a response in its endpoint's mean
// Weight of the first response in its endpoint's mean; the rest is the mean over all endpoints.
constexpr double first_response_weight = 0.2;

void add_response(Endpoint& endpoint, double response_s, double overall_mean_s) {
    double& mean_s = endpoint.mean_response_s;
    if (mean_s > 0)
        mean_s += response_sample_weight * (response_s - mean_s);
    else if (overall_mean_s > 0)
        mean_s = (1 - first_response_weight) * overall_mean_s + first_response_weight * response_s;
    else
        mean_s = response_s;
}
}  // namespace

LoadBalancer::LoadBalancer(DecisionContext& context, RandomSource& random)
    : context_(context),
      endpoints_(context),
      slow_start_(context, random),
      estimator_(context, endpoints_),
      window_(context, endpoints_, random),
      limiter_(context, estimator_, window_),
      outlier_detector_(context),
      health_checker_(context, estimator_, limiter_, outlier_detector_),
      selector_(context, random, endpoints_, slow_start_, estimator_, limiter_, outlier_detector_,
                health_checker_) {}

void LoadBalancer::refresh_endpoints() {
    endpoints_.drop_expired_start_times();
    endpoints_.refresh();
}

Placement LoadBalancer::place(RequestState& request) {
    request.candidates = selector_.select_candidates(request);
    if (request.candidates.empty()) return {};
    Endpoint& best = request.candidates.front();
    if (health_checker_.has_sufficient_samples(best))
        return {PlacementStatus::endpoint_chosen, &best};
    if (request.health_check_rounds >= HealthChecker::max_rounds || !window_.is_open()) {
        request.health_check_rounds = HealthChecker::max_rounds;
        return {};
    }
    health_checker_.start(request);
    return {PlacementStatus::health_checks_in_flight, nullptr};
}

bool LoadBalancer::is_idle_candidate(const RequestState& request, const Endpoint& endpoint) const {
    return endpoint.is_reported_idle && health_checker_.has_capacity(endpoint) &&
           may_run_at(context_, request, endpoint);
}

void LoadBalancer::on_attempt_sent(Endpoint& endpoint, const RequestState& request) {
    estimator_.on_attempt_sent(endpoint);
    // Without attempts in flight no response was expected: the wait for a response starts now.
    if (endpoint.attempts_in_flight++ == 0) endpoint.last_response_at = context_.now;
    window_.on_attempt_sent();
    slow_start_.on_attempt_sent(endpoint, request.arrival.units, endpoints_.warm_count());
}

std::optional<AttemptAssessment> LoadBalancer::on_attempt_ended(Endpoint& endpoint,
                                                                const RequestState* request,
                                                                const AttemptEnded& ended) {
    if (endpoint.attempts_in_flight > 0) {
        --endpoint.attempts_in_flight;
        window_.on_attempt_ended();
    }
    estimator_.on_attempt_ended(ended.duration);
    const LoadReport& report = ended.load_report;
    if (report.queued_requests >= 0 || report.in_flight_requests >= 0)
        estimator_.on_load_report(endpoint, report);
    if (ended.outcome == Outcome::success || ended.outcome == Outcome::error)
        endpoint.last_response_at = context_.now;
    const double objective_s = request ? latency_objective_s(context_.settings, *request)
                                       : default_latency_objective_s(context_.settings);
    std::optional<AttemptAssessment> assessment;
    if (!context_.stall_detector.is_stalled(context_.now))
        assessment = record_outcome(endpoint, ended, objective_s);
    if (!request) return assessment;
    // While responses are fast, a rejection is attributed to this kind of request and not to load.
    if (ended.outcome == Outcome::rejected &&
        is_fast(context_.traffic.mean_response_s, objective_s))
        outlier_detector_.on_rejected(endpoint, request->kind);
    if (ended.outcome == Outcome::success)
        OutlierDetector::on_success(endpoint, request->arrival.request_class);
    return assessment;
}

AttemptAssessment LoadBalancer::record_outcome(Endpoint& endpoint, const AttemptEnded& ended,
                                               double latency_objective_s) {
    const double duration_s = seconds(ended.duration);
    if (ended.outcome == Outcome::success) {
        add_response(endpoint, duration_s, context_.traffic.mean_response_s);
        context_.traffic.add_response(duration_s);
    }
    const AttemptAssessment assessment = assess(ended, endpoint, context_, latency_objective_s);
    endpoint.responses.add(1, context_.now, response_decay_s);
    limiter_.on_outcome(endpoint, assessment);
    window_.on_outcome(assessment);
    outlier_detector_.on_outcome(endpoint, ended.outcome, assessment);
    return assessment;
}

}  // namespace silverreach
