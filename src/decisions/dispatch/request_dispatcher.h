// The way of an admitted request: endpoint, queue, attempts, retries and final response.
//
// States of a request and what moves it on:
//   admitted -> in flight        an endpoint is chosen
//   admitted -> checking health  its candidates have too few samples
//   admitted -> queued           no endpoint has capacity
//   checking health -> in flight or queued, by the results or once they took long enough
//   queued -> in flight or checking health, when an endpoint has capacity
//   in flight -> admitted        its last attempt failed and is retried
//   any -> removed               final response, client disconnected, or rejected here
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

// Owned by the engine; all arguments outlive it. A call may remove its request, after which the
// reference is invalid.
class RequestDispatcher {
  public:
    RequestDispatcher(DecisionContext& context, RequestTable& requests, QuotaManager& quota,
                      LoadBalancer& load_balancer, AdmissionQueue& queue);

    // Sends the request, checks its candidates, or queues it until an endpoint has capacity. Gives
    // up once its latest start has passed.
    void dispatch(RequestState& request);
    // Sends queued requests as far as endpoints have capacity.
    void dispatch_queued();

    // `endpoint`: null where it is no longer known.
    void on_attempt_ended(RequestState& request, const AttemptEnded& ended,
                          const Endpoint* endpoint);
    void on_health_check_ended(RequestState& request, Endpoint& endpoint, bool succeeded);
    // A timer of the kinds that are about requests.
    void on_timer(TimerKind kind, RequestState& request);

    // Rejects the request. `retry_after` is cut to what clients heed.
    void reject(RequestState& request, RejectReason reason, Micros retry_after);
    // Forgets a request that has its final response or needs none.
    void remove(RequestState& request);

  private:
    bool try_send(RequestState& request);
    void send_to_best_checked(RequestState& request);
    void send_attempt(RequestState& request, Endpoint& endpoint);
    void check_overdue_attempt(RequestState& request);
    void give_up(RequestState& request);

    DecisionContext& context_;
    RequestTable& requests_;
    QuotaManager& quota_;
    LoadBalancer& load_balancer_;
    AdmissionQueue& queue_;
    RetryPolicy retry_policy_;
    OverdueAttemptCheck overdue_check_;
};

}  // namespace silverreach
