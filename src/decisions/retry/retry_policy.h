// Decides whether a request gets a further attempt and whether its client may retry.
#pragma once

#include "decisions/decision_context.h"
#include "decisions/load_balancing/endpoint.h"
#include "decisions/request_state.h"
#include "decisions/retry/repeat_rules.h"
#include "decisions/retry/retry_budget.h"

namespace silverreach {

// Whether the request may run at the endpoint, given that earlier attempts may have run.
inline bool may_run_at(const DecisionContext& context, const RequestState& request,
                       const Endpoint& endpoint) {
    if (!request.may_have_run) return true;
    const PossibleRun& earlier = request.first_possible_run;
    return !check_repeat_at(context.settings.classes[request.arrival.request_class],
                            earlier.sent_at, {earlier.zone, earlier.cell},
                            {endpoint.entry.zone, endpoint.entry.cell}, context.now);
}

class RetryPolicy {
  public:
    explicit RetryPolicy(const DecisionContext& context) : context_(context) {}

    // Call this before the request's state is updated with the attempt.
    void on_attempt_sent(const RequestState& request) {
        if (!request.was_sent) budget_.on_first_attempt(context_.now);
    }
    // Records whether the attempt may have run. `endpoint`: null if it is no longer known.
    void on_attempt_failed(RequestState& request, Outcome outcome, const Endpoint* endpoint) const;

    // Whether a request without an attempt in flight is retried. May spend from the budget.
    bool may_retry(const RequestState& request);
    // Whether a hedged request may be sent now. Spends from the budget if so.
    bool may_hedge() { return budget_.try_spend(context_.now); }
    // Whether a retry by the client is safe.
    bool client_may_repeat(const RequestState& request) const;

  private:
    const RequestClass& class_of(const RequestState& request) const {
        return context_.settings.classes[request.arrival.request_class];
    }

    const DecisionContext& context_;
    RetryBudget budget_;
};

}  // namespace silverreach
