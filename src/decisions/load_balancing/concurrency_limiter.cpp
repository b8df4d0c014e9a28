#include "decisions/load_balancing/concurrency_limiter.h"

#include "decisions/load_balancing/adaptive_limit.h"

namespace silverreach {
namespace {
constexpr double min_endpoint_limit = 2;   // attempts
constexpr double near_limit_attempts = 2;  // attempts below the limit
}  // namespace

double ConcurrencyLimiter::limit(const Endpoint& endpoint) const {
    const double responses = endpoint.recent_responses(context_.now);
    const double own_weight = responses / (responses + prior_responses);
    return own_weight * endpoint.concurrency_limit +
           (1 - own_weight) * window_.mean_endpoint_limit();
}

void ConcurrencyLimiter::on_outcome(Endpoint& endpoint, const AttemptAssessment& assessment) {
    double& own_limit = endpoint.concurrency_limit;
    if (assessment.lowers_limit)
        own_limit = decreased_limit(own_limit, min_endpoint_limit);
    else if (assessment.is_success &&
             estimator_.estimate(endpoint) + near_limit_attempts > limit(endpoint))
        own_limit = increased_limit(own_limit);
}

}  // namespace silverreach
