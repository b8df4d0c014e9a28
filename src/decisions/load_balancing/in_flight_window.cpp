#include "decisions/load_balancing/in_flight_window.h"

#include <cmath>

#include "decisions/load_balancing/adaptive_limit.h"

namespace silverreach {
namespace {
constexpr double min_mean_endpoint_limit = 0.2;  // attempts
constexpr double slack_deviations = 2;  // standard deviations of this instance's attempts in flight
}  // namespace

// This instance's share of the attempts that the endpoints take, plus a margin for random
// variation.
double InFlightWindow::size() const {
    const double share = mean_endpoint_limit_ * static_cast<double>(endpoints_.size()) /
                         context_.settings.instance_count;
    return share + slack_deviations * std::sqrt(share);
}

void InFlightWindow::on_outcome(const AttemptAssessment& assessment) {
    if (assessment.lowers_limit)
        mean_endpoint_limit_ = decreased_limit(mean_endpoint_limit_, min_mean_endpoint_limit);
    else if (assessment.is_success && 2 * (attempts_in_flight_ + 1) > size())
        mean_endpoint_limit_ = increased_limit(mean_endpoint_limit_);
}

}  // namespace silverreach
