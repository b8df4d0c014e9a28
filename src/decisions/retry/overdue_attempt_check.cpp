#include "decisions/retry/overdue_attempt_check.h"

#include <algorithm>

#include "decisions/response_speed.h"

namespace silverreach {
namespace {
// Number of expected responses, none of which arrived, at which an endpoint counts as unresponsive.
// The probability that this happens by chance is e^-3.5 = 3 %.
constexpr double missing_responses_threshold = 3.5;
// Multiple of the usual response time after which a single response counts as lost. The probability
// that this happens by chance is e^-6 = 0.2 %.
constexpr double lost_response_factor = 6;
// Bounds of the time until a check, as shares of the latency objective.
constexpr double earliest_check_ratio = 0.25;
constexpr double latest_check_ratio = 0.55;
}  // namespace

Micros OverdueAttemptCheck::first_check_delay(const RequestState& request) const {
    const double objective_s = latency_objective_s(context_.settings, request);
    return micros(std::clamp(missing_responses_threshold * context_.traffic.mean_response_s,
                             earliest_check_ratio * objective_s, latest_check_ratio * objective_s));
}

OverdueDecision OverdueAttemptCheck::check(const RequestState& request, Endpoint& endpoint) {
    if (context_.stall_detector.is_stalled(context_.now))
        return {OverdueAction::check_again, StallDetector::heartbeat_period};
    return endpoint.last_response_at > request.last_sent_at ? check_responsive(request, endpoint)
                                                            : check_unresponsive(request, endpoint);
}

// Cancels the attempt and does not hedge it, because hedged requests are sent only for unresponsive
// endpoints. The drawback: an attempt that needs many times the usual response time is cancelled
// too.
OverdueDecision OverdueAttemptCheck::check_responsive(const RequestState& request,
                                                      Endpoint& endpoint) {
    const double objective_s = default_latency_objective_s(context_.settings);
    if (!is_fast(context_.traffic.mean_response_s, objective_s) || context_.settings.may_hedge ||
        idempotency_of(request) == Idempotency::non_idempotent)
        return {};
    const double due_s = std::max(lost_response_factor * usual_response_s(endpoint),
                                  latest_check_ratio * objective_s);
    const OverdueDecision recheck = check_when_due(request, due_s);
    if (recheck.action == OverdueAction::check_again) return recheck;
    outlier_detector_.on_class_overdue(endpoint, request.arrival.request_class);
    return request.attempts > 1 ? OverdueDecision{} : replace_attempt(request);
}

OverdueDecision OverdueAttemptCheck::check_unresponsive(const RequestState& request,
                                                        Endpoint& endpoint) {
    const double objective_s = default_latency_objective_s(context_.settings);
    const double expected_s = missing_responses_threshold * usual_response_s(endpoint) /
                              std::max(endpoint.attempts_in_flight, 1);
    const double due_s = std::max(expected_s, earliest_check_ratio * objective_s);
    const OverdueDecision recheck = check_when_due(request, due_s);
    if (recheck.action == OverdueAction::check_again) return recheck;
    outlier_detector_.eject(endpoint);
    if (idempotency_of(request) != Idempotency::idempotent) return {};
    return replace_attempt(request);
}

OverdueDecision OverdueAttemptCheck::check_when_due(const RequestState& request,
                                                    double due_s) const {
    const double elapsed_s = seconds(context_.now - request.last_sent_at);
    if (elapsed_s >= due_s) return {};
    return {OverdueAction::check_again, micros(due_s - elapsed_s)};
}

OverdueDecision OverdueAttemptCheck::replace_attempt(const RequestState& request) const {
    const Settings& settings = context_.settings;
    if (request.attempts >= settings.max_attempts || context_.now >= request.latest_start)
        return {};
    if (settings.may_hedge) return {OverdueAction::hedge};
    if (settings.may_cancel) return {OverdueAction::cancel};
    return {};
}

Idempotency OverdueAttemptCheck::idempotency_of(const RequestState& request) const {
    return context_.settings.classes[request.arrival.request_class].idempotency;
}

// The mean response time, weighted by the endpoint's recent responses against the time of the
// earliest check.
double OverdueAttemptCheck::usual_response_s(const Endpoint& endpoint) const {
    const double objective_s = default_latency_objective_s(context_.settings);
    const double responses = endpoint.recent_responses(context_.now);
    const double mean_s = std::max(endpoint.mean_response_s, context_.traffic.mean_response_s);
    return (responses * mean_s + prior_responses * earliest_check_ratio * objective_s) /
           (responses + prior_responses);
}

}  // namespace silverreach
