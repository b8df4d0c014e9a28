#include "decisions/load_balancing/in_flight_estimator.h"

#include <algorithm>
#include <cstddef>

namespace silverreach {
namespace {
constexpr double attempt_time_decay_s = 5;
// Weight of the mean over all endpoints, in attempts: with more own attempts in flight at an
// endpoint, these outweigh the mean.
constexpr double mean_weight_attempts = 2;
constexpr double idle_queue_threshold = 0.5;  // requests
}  // namespace

// Estimates the attempts of each other instance as this instance's mean number of attempts in
// flight per endpoint (Little's law), scaled by its attempts in flight at this endpoint.
double InFlightEstimator::estimate(const Endpoint& endpoint) const {
    const double own_attempts = endpoint.attempts_in_flight;
    const auto endpoint_count = static_cast<double>(std::max<std::size_t>(1, endpoints_.size()));
    const double mean_attempts = attempt_time_s_.value(context_.now, attempt_time_decay_s) /
                                 (attempt_time_decay_s * endpoint_count);
    return own_attempts + (context_.settings.instance_count - 1) * mean_attempts *
                              (own_attempts + mean_weight_attempts) /
                              (mean_attempts + mean_weight_attempts);
}

// Interpolates linearly from the report to the estimate as the report ages.
double InFlightEstimator::in_flight(const Endpoint& endpoint) const {
    const double relative_age =
        seconds(context_.now - endpoint.reported_at) / seconds(load_report_lifetime);
    if (endpoint.reported_in_flight < 0 || relative_age >= 1) return estimate(endpoint);
    return (1 - relative_age) * endpoint.reported_in_flight + relative_age * estimate(endpoint);
}

void InFlightEstimator::on_load_report(Endpoint& endpoint, const LoadReport& report) const {
    endpoint.reported_at = context_.now;
    endpoint.last_report_has_in_flight = report.in_flight_requests >= 0;
    // An endpoint that reports no load counts as idle, so the first endpoint to respond gets the
    // request.
    endpoint.is_reported_idle = report.queued_requests < idle_queue_threshold;
    if (report.in_flight_requests >= 0)
        endpoint.reported_in_flight = report.in_flight_requests;
    else if (report.queued_requests >= 0)
        endpoint.reported_in_flight = report.queued_requests + estimate(endpoint);
    else
        endpoint.reported_in_flight = -1;
}

void InFlightEstimator::on_attempt_sent(Endpoint& endpoint) {
    if (endpoint.reported_in_flight >= 0) ++endpoint.reported_in_flight;
}

void InFlightEstimator::on_attempt_ended(Micros duration) {
    attempt_time_s_.add(seconds(duration), context_.now, attempt_time_decay_s);
}

}  // namespace silverreach
