// What the end of an attempt says about its endpoint and about the load of the fleet.
#pragma once

#include "decisions/decision_context.h"
#include "decisions/load_balancing/endpoint.h"

namespace silverreach {

struct AttemptAssessment {
    bool success = false;
    // A rejection, or a timeout at an endpoint that responds to others, while responses are slow
    // in general.
    bool overload_sign = false;
    bool lowers_limit = false;  // a sign of overload, or a success that was not fast
    bool slow = false;          // a rejection or a slow response, whatever the general speed
    // A timeout at an endpoint from which nothing came since before the attempt was sent.
    bool unresponsive = false;
};

// `latency_objective_s`: of the attempt's request. Call it after `last_response` and the mean
// response time have taken in this attempt.
AttemptAssessment assess(const AttemptEnded& ended, const Endpoint& endpoint,
                         const DecisionContext& context, double latency_objective_s);

}  // namespace silverreach
