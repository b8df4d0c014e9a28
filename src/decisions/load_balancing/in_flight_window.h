// The in-flight window: how many attempts this instance may have in flight before it stops sending
// to endpoints from which it has few responses. Without it, hundreds of instances that each see no
// queue would overload these endpoints together.
#pragma once

#include "decisions/decision_context.h"
#include "decisions/load_balancing/attempt_assessment.h"
#include "decisions/load_balancing/endpoint_table.h"
#include "decisions/random_source.h"

namespace silverreach {

class InFlightWindow {
  public:
    InFlightWindow(const DecisionContext& context, const EndpointTable& endpoints,
                   RandomSource& random)
        : context_(context), endpoints_(endpoints), random_(random) {}

    // If less than one attempt is left, the window is open with that probability. Each call draws a
    // random number.
    bool is_open() { return attempts_in_flight_ + random_.uniform() < size(); }
    // Attempts of all instances that may be in flight at an average endpoint.
    double mean_endpoint_limit() const { return mean_endpoint_limit_; }

    void on_attempt_sent() { ++attempts_in_flight_; }
    void on_attempt_ended() { --attempts_in_flight_; }
    // Adapts the limit to the outcome of an attempt at any endpoint.
    void on_outcome(const AttemptAssessment& assessment);

  private:
    static constexpr double initial_mean_endpoint_limit = 2;

    double size() const;

    const DecisionContext& context_;
    const EndpointTable& endpoints_;
    RandomSource& random_;
    double mean_endpoint_limit_ = initial_mean_endpoint_limit;
    int attempts_in_flight_ = 0;  // of this instance, at all endpoints
};

}  // namespace silverreach
