// Detects attempts whose response is overdue because the endpoint failed silently, a connection
// failed or a process stalls.
//
// An endpoint that has not responded since the attempt was sent is ejected. An endpoint that
// responds to other attempts has lost this one or leaves its request class unanswered; after two
// such attempts in a row, the request class avoids the endpoint.
#pragma once

#include "decisions/decision_context.h"
#include "decisions/load_balancing/endpoint.h"
#include "decisions/load_balancing/outlier_detector.h"
#include "decisions/request_state.h"

namespace silverreach {

enum class OverdueAction {
    none,
    check_again,  // after OverdueDecision::check_after
    hedge,        // send a hedged request if the retry budget allows it
    cancel        // cancel the last attempt, so that it is retried
};
struct OverdueDecision {
    OverdueAction action = OverdueAction::none;
    Micros check_after{0};
};

class OverdueAttemptCheck {
  public:
    OverdueAttemptCheck(const DecisionContext& context, const OutlierDetector& outlier_detector)
        : context_(context), outlier_detector_(outlier_detector) {}

    // Time from sending an attempt to its first check.
    Micros first_check_delay(const RequestState& request) const;
    // `endpoint`: the endpoint of the request's last attempt, which must be in flight.
    OverdueDecision check(const RequestState& request, Endpoint& endpoint);

  private:
    OverdueDecision check_responsive(const RequestState& request, Endpoint& endpoint);
    OverdueDecision check_unresponsive(const RequestState& request, Endpoint& endpoint);
    // check_again, after the rest of `due_s` since the attempt was sent; none once that has passed.
    OverdueDecision check_when_due(const RequestState& request, double due_s) const;
    OverdueDecision replace_attempt(const RequestState& request) const;
    Idempotency idempotency_of(const RequestState& request) const;
    double usual_response_s(const Endpoint& endpoint) const;

    const DecisionContext& context_;
    const OutlierDetector& outlier_detector_;
};

}  // namespace silverreach
