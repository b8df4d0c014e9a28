// Finds attempts whose response is overdue, against endpoints that died without a sign, broken
// connections and stalls.
//
// An endpoint from which nothing came since the attempt was sent is ejected. One that responds to
// others has lost this attempt or leaves its request class unanswered; two such in a row make the
// class avoid it.
#pragma once

#include "decisions/decision_context.h"
#include "decisions/load_balancing/endpoint.h"
#include "decisions/load_balancing/outlier_detector.h"
#include "decisions/request_state.h"

namespace silverreach {

enum class OverdueAction {
    none,
    check_again,  // after OverdueDecision::check_after
    hedge,        // send a hedged request, where the retry budget allows it
    cancel        // cancel the last attempt, so that it is retried
};
struct OverdueDecision {
    OverdueAction action = OverdueAction::none;
    Micros check_after{0};
};

class OverdueAttemptCheck {
  public:
    OverdueAttemptCheck(const DecisionContext& context, const OutlierDetector& outliers)
        : context_(context), outliers_(outliers) {}

    // From sending an attempt to its first check.
    Micros first_check_delay(const RequestState& request) const;
    // `endpoint`: of the request's last attempt, which is in flight.
    OverdueDecision check(const RequestState& request, Endpoint& endpoint);

  private:
    OverdueDecision check_responsive(const RequestState& request, Endpoint& endpoint);
    OverdueDecision check_unresponsive(const RequestState& request, Endpoint& endpoint);
    // Checks again when the response will have taken `due_s`; none once it has.
    OverdueDecision check_when_due(const RequestState& request, double due_s) const;
    OverdueDecision replace_attempt(const RequestState& request) const;
    Idempotency idempotency_of(const RequestState& request) const;
    double usual_response_s(const Endpoint& endpoint) const;

    const DecisionContext& context_;
    const OutlierDetector& outliers_;
};

}  // namespace silverreach
