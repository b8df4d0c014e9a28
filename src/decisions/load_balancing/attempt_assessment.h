// Derives the state of an endpoint and the load of the back end from the end of an attempt.
#pragma once

#include "decisions/decision_context.h"
#include "decisions/load_balancing/endpoint.h"

namespace silverreach {

struct AttemptAssessment {
    bool is_success = false;
    // A rejection, or a timeout at an endpoint that responds to other attempts, while the mean
    // response time is not fast.
    bool is_overload_sign = false;
    bool lowers_limit = false;  // a sign of overload, or a success that is not fast
    bool is_slow = false;       // a rejection, or an attempt of any outcome that took long
    // A timeout at an endpoint that has not responded since the attempt was sent.
    bool is_unresponsive = false;
};

// `latency_objective_s`: of the attempt's request. Call this after `last_response_at` and the mean
// response time are updated with the attempt.
AttemptAssessment assess(const AttemptEnded& ended, const Endpoint& endpoint,
                         const DecisionContext& context, double latency_objective_s);

}  // namespace silverreach
