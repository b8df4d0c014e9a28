#include "decisions/load_balancing/outlier_detector.h"

#include <algorithm>

namespace silverreach {
namespace {
using namespace std::chrono_literals;

constexpr int consecutive_failures_to_eject = 3;
constexpr Micros base_ejection_time = 500ms;
constexpr int max_ejection_doublings = 4;  // up to 8 s
constexpr Micros failed_health_check_ejection_time = 250ms;
constexpr Micros avoidance_time = 20s;
constexpr int consecutive_overdue_to_avoid_class = 2;  // attempts
}  // namespace

void OutlierDetector::on_outcome(Endpoint& endpoint, Outcome outcome,
                                 const AttemptAssessment& assessment) const {
    if (assessment.is_success) {
        endpoint.consecutive_failures = 0;
        endpoint.consecutive_ejections = 0;
    }
    // A reset may affect a single connection; a failed connect affects the endpoint.
    if (outcome == Outcome::error || outcome == Outcome::reset || assessment.is_unresponsive)
        add_failures(endpoint, 1);
    if (outcome == Outcome::connect_failed) eject(endpoint);
}

void OutlierDetector::on_health_check_failed(Endpoint& endpoint) const {
    endpoint.ejected_until =
        std::max(endpoint.ejected_until, context_.now + failed_health_check_ejection_time);
}

void OutlierDetector::eject(Endpoint& endpoint) const {
    add_failures(endpoint, consecutive_failures_to_eject);
}

void OutlierDetector::add_failures(Endpoint& endpoint, int count) const {
    endpoint.consecutive_failures += count;
    if (endpoint.consecutive_failures < consecutive_failures_to_eject || is_ejected(endpoint))
        return;
    const int doublings = std::min(endpoint.consecutive_ejections, max_ejection_doublings);
    endpoint.ejected_until = context_.now + base_ejection_time * (1 << doublings);
    ++endpoint.consecutive_ejections;
}

void OutlierDetector::on_rejected(Endpoint& endpoint, int kind) const {
    endpoint.rejected_kinds_until[kind] = context_.now + avoidance_time;
}

void OutlierDetector::on_success(Endpoint& endpoint, int request_class) {
    const auto it = endpoint.unanswered_classes.find(request_class);
    if (it != endpoint.unanswered_classes.end()) it->second.consecutive_overdue = 0;
}

void OutlierDetector::on_class_overdue(Endpoint& endpoint, int request_class) const {
    UnansweredClass& unanswered = endpoint.unanswered_classes[request_class];
    if (++unanswered.consecutive_overdue >= consecutive_overdue_to_avoid_class)
        unanswered.avoided_until = context_.now + avoidance_time;
}

}  // namespace silverreach
