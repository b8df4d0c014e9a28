#include "decisions/load_balancing/health_checker.h"

#include <utility>

namespace silverreach {
namespace {
// After this time the better of the checked endpoints gets the request.
constexpr Micros max_health_check_wait{40'000};
}  // namespace

bool HealthChecker::has_capacity(const Endpoint& endpoint) const {
    if (endpoint.entry.status != EndpointStatus::available ||
        outlier_detector_.is_ejected(endpoint))
        return false;
    const bool has_fresh_report = estimator_.has_fresh_report(endpoint);
    if (!has_fresh_report && !has_sufficient_samples(endpoint)) return false;
    if (has_fresh_report && endpoint.is_reported_idle && !endpoint.last_report_has_in_flight)
        return true;
    return !limiter_.at_limit(endpoint);
}

void HealthChecker::start(RequestState& request) {
    ++request.health_check_rounds;
    request.is_queued = false;
    request.is_checking_health = true;
    request.pending_health_checks = static_cast<int>(request.candidates.size());
    for (Endpoint* endpoint : request.candidates) {
        endpoint->health_check_waiters.push_back(request.arrival.id);
        if (endpoint->health_check_waiters.size() == 1)
            context_.emit(StartHealthCheck{endpoint->entry.id});
    }
    context_.start_timer(max_health_check_wait, TimerKind::health_check, request.arrival.id);
}

std::vector<RequestId> HealthChecker::on_ended(Endpoint& endpoint, const HealthCheckEnded& ended) {
    if (ended.outcome == Outcome::success)
        estimator_.on_load_report(endpoint, ended.load_report);
    else if (ended.outcome != Outcome::not_started)  // not_started: the fault is on this instance
        outlier_detector_.on_health_check_failed(endpoint);
    return std::exchange(endpoint.health_check_waiters, {});
}

}  // namespace silverreach
