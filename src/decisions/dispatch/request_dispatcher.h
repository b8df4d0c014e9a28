// Takes an admitted request from the choice of an endpoint through queue, attempts and retries to
// its final response.
//
// States of a request and their transitions:
//   admitted -> in flight        an endpoint is chosen
//   admitted -> checking health  its candidates have too few samples
//   admitted -> queued           no endpoint has capacity
//   checking health -> in flight or queued, by the results or after a timeout
//   queued -> in flight or checking health, when an endpoint has capacity
//   in flight -> admitted        its last attempt failed, and the request is retried
//   any -> removed               final response, client disconnected, or rejection
#pragma once

#include "decisions/admission/admission_queue.h"
#include "decisions/decision_context.h"
#include "decisions/load_balancing/load_balancer.h"
#include "decisions/quota/quota_manager.h"
#include "decisions/request_state.h"
#include "decisions/retry/overdue_attempt_check.h"
#include "decisions/retry/retry_policy.h"
#include "silverreach/interface.h"

namespace silverreach {

// Owned by the engine. The constructor's arguments must outlive the dispatcher. A call may remove
// its request, which invalidates the caller's reference.
class RequestDispatcher {
  public:
    RequestDispatcher(DecisionContext& context, RequestTable& requests, QuotaManager& quota,
                      LoadBalancer& load_balancer, AdmissionQueue& queue);

    // Sends the request, checks its candidates, or queues it until an endpoint has capacity. Ends
    // the request without a success once its latest start has passed.
    void dispatch(RequestState& request);
    // Sends queued requests while endpoints have capacity.
    void dispatch_queued();

    // `endpoint`: null if it is no longer known.
    void on_attempt_ended(RequestState& request, const AttemptEnded& ended,
                          const Endpoint* endpoint);
    void on_health_check_ended(RequestState& request, Endpoint& endpoint, bool succeeded);
    // Handles a timer of a request; ignores timers of other kinds.
    void on_timer(TimerKind kind, RequestState& request);

    // Rejects the request. `retry_after` is limited to Settings::max_retry_after.
    void reject(RequestState& request, RejectReason reason, Micros retry_after);
    // Removes a request that has its final response or needs none.
    void remove(RequestState& request);

  private:
    bool try_send(RequestState& request);
    void send_to_best_checked_candidate(RequestState& request);
    void send_attempt(RequestState& request, Endpoint& endpoint);
    void check_overdue_attempt(RequestState& request);
    void end_without_success(RequestState& request);

    DecisionContext& context_;
    RequestTable& requests_;
    QuotaManager& quota_;
    LoadBalancer& load_balancer_;
    AdmissionQueue& queue_;
    RetryPolicy retry_policy_;
    OverdueAttemptCheck overdue_check_;
};

}  // namespace silverreach
