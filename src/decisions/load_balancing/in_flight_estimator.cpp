#include "decisions/load_balancing/in_flight_estimator.h"

#include <algorithm>
#include <cstddef>

namespace silverreach {
namespace {
constexpr double attempt_time_memory_s = 5;
// Weight of the mean over all endpoints, in attempts in flight: with more own attempts in flight,
// these outweigh the mean.
constexpr double mean_weight_attempts = 2;
constexpr double idle_below_queued = 0.5;  // requests
}  // namespace

// Estimates the attempts of each other instance as this instance's mean number of attempts in
// flight per endpoint (Little's law), scaled by its attempts in flight at this endpoint.
double InFlightEstimator::estimate(const Endpoint& endpoint) const {
    const double own = endpoint.attempts_in_flight;
    const auto endpoint_count = static_cast<double>(std::max<std::size_t>(1, endpoints_.size()));
    const double mean = attempt_time_s_.value(context_.now, attempt_time_memory_s) /
                        (attempt_time_memory_s * endpoint_count);
    return own + (context_.settings.instance_count - 1) * mean * (own + mean_weight_attempts) /
                     (mean + mean_weight_attempts);
}

// Interpolates linearly from the report to the estimate as the report ages.
double InFlightEstimator::in_flight(const Endpoint& endpoint) const {
    const double age = seconds(context_.now - endpoint.reported_at) / seconds(load_report_lifetime);
    if (endpoint.reported_in_flight < 0 || age >= 1) return estimate(endpoint);
    return (1 - age) * endpoint.reported_in_flight + age * estimate(endpoint);
}

void InFlightEstimator::on_load_report(Endpoint& endpoint, const LoadReport& report) const {
    endpoint.reported_at = context_.now;
    endpoint.reports_in_flight = report.in_flight_requests >= 0;
    // An endpoint that reports no load counts as idle, so the first endpoint to respond gets the
    // request.
    endpoint.reported_idle = report.queued_requests < idle_below_queued;
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
    attempt_time_s_.add(seconds(duration), context_.now, attempt_time_memory_s);
}

}  // namespace silverreach
