#include "decisions/load_balancing/attempt_assessment.h"

#include "decisions/response_speed.h"

namespace silverreach {

// A timeout is a failure of the endpoint only if the endpoint has not responded to any attempt
// since this one was sent. Otherwise it is a sign of overload, unless it was short. Clients with
// short deadlines and costly requests thus cannot cause the ejection of healthy endpoints.
AttemptAssessment assess(const AttemptEnded& ended, const Endpoint& endpoint,
                         const DecisionContext& context, double latency_objective_s) {
    const bool timed_out = ended.outcome == Outcome::timeout;
    const bool was_fast = is_fast(seconds(ended.duration), latency_objective_s);
    const Micros last_response_age = context.now - endpoint.last_response_at;
    const bool is_slow_timeout = timed_out && last_response_age < ended.duration && !was_fast;
    const bool is_overall_fast = is_fast(context.traffic.mean_response_s, latency_objective_s);

    AttemptAssessment assessment;
    assessment.is_success = ended.outcome == Outcome::success;
    assessment.is_overload_sign =
        !is_overall_fast && (ended.outcome == Outcome::rejected || is_slow_timeout);
    assessment.lowers_limit = assessment.is_overload_sign || (assessment.is_success && !was_fast);
    assessment.is_slow =
        ended.outcome == Outcome::rejected || is_slow(seconds(ended.duration), latency_objective_s);
    assessment.is_unresponsive = timed_out && last_response_age > ended.duration;
    return assessment;
}

}  // namespace silverreach
