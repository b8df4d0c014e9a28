#include "decisions/dispatch/request_dispatcher.h"

#include <algorithm>

#include "decisions/admission/retry_after.h"

namespace silverreach {
namespace {
using namespace std::chrono_literals;

constexpr Micros queue_recheck_period = 100ms;
}  // namespace

RequestDispatcher::RequestDispatcher(DecisionContext& context, RequestTable& requests,
                                     QuotaManager& quota, LoadBalancer& load_balancer,
                                     AdmissionQueue& queue)
    : context_(context),
      requests_(requests),
      quota_(quota),
      load_balancer_(load_balancer),
      queue_(queue),
      retry_policy_(context),
      overdue_check_(context, load_balancer.outlier_detector()) {}

void RequestDispatcher::dispatch(RequestState& request) {
    const Micros now = context_.now;
    if (now <= request.latest_start && try_send(request)) return;
    if (now >= request.latest_start) return end_without_success(request);
    queue_.push(request);
    context_.start_timer(std::min(queue_recheck_period, request.latest_start - now),
                         TimerKind::queue_timeout, request.arrival.id);
    if (RequestState* oldest = queue_.pop_excess(load_balancer_.endpoint_count()))
        end_without_success(*oldest);
}

void RequestDispatcher::dispatch_queued() {
    queue_.dispatch_queued(context_.now,
                           [this](RequestState& request) { return try_send(request); });
}

// Returns false if no endpoint can take the request now, true if the request is sent or its
// candidates are being checked.
bool RequestDispatcher::try_send(RequestState& request) {
    const Placement placement = load_balancer_.place(request);
    if (placement.endpoint) send_attempt(request, *placement.endpoint);
    return placement.status != PlacementStatus::no_capacity;
}

void RequestDispatcher::send_to_best_checked_candidate(RequestState& request) {
    Endpoint* best = load_balancer_.best_checked_candidate(request);
    if (best && context_.now <= request.latest_start) return send_attempt(request, *best);
    request.is_checking_health = false;
    dispatch(request);
}

void RequestDispatcher::send_attempt(RequestState& request, Endpoint& endpoint) {
    CustomerQuota& customer = *request.customer;
    const double units = request.arrival.units;
    quota_.on_attempt_sent(customer, request.reservation, units, !request.was_sent);
    retry_policy_.on_attempt_sent(request);
    request.on_attempt_sent(endpoint.entry.id, context_.now);
    ++customer.attempts_in_flight;
    load_balancer_.on_attempt_sent(endpoint, request);
    context_.traffic.add_attempt(units);
    context_.emit(SendAttempt{request.arrival.id, endpoint.entry.id,
                              std::max(request.deadline - context_.now, 1us)});
    context_.start_timer(overdue_check_.first_check_delay(request), TimerKind::attempt_check,
                         request.arrival.id);
}

void RequestDispatcher::on_attempt_ended(RequestState& request, const AttemptEnded& ended,
                                         const Endpoint* endpoint) {
    CustomerQuota& customer = *request.customer;
    request.attempts_in_flight = std::max(0, request.attempts_in_flight - 1);
    customer.attempts_in_flight = std::max(0, customer.attempts_in_flight - 1);
    if (request.is_within_quota)
        quota_.correct_units(customer, request.arrival.units, ended.actual_units);
    if (ended.request_completed) return remove(request);
    retry_policy_.on_attempt_failed(request, ended.outcome, endpoint);
    if (request.attempts_in_flight > 0) return;
    if (retry_policy_.may_retry(request))
        dispatch(request);
    else
        end_without_success(request);
}

void RequestDispatcher::on_health_check_ended(RequestState& request, Endpoint& endpoint,
                                              bool succeeded) {
    if (!request.is_checking_health || !request.candidates.contains(endpoint)) return;
    --request.pending_health_checks;
    if (succeeded && load_balancer_.is_idle_candidate(request, endpoint))
        send_attempt(request, endpoint);
    else if (request.pending_health_checks <= 0)
        send_to_best_checked_candidate(request);
}

void RequestDispatcher::on_timer(TimerKind kind, RequestState& request) {
    switch (kind) {
        case TimerKind::request_deadline:
            return end_without_success(request);
        case TimerKind::pacing_delay:
            return dispatch(request);
        case TimerKind::attempt_check:
            return check_overdue_attempt(request);
        case TimerKind::queue_timeout:
            if (!request.is_queued) return;
            request.health_check_rounds = 0;
            return dispatch(request);
        case TimerKind::health_check:
            if (request.is_checking_health) send_to_best_checked_candidate(request);
            return;
        case TimerKind::lease_request:
        case TimerKind::peer_outbox:
        case TimerKind::heartbeat:
            return;  // these timers do not belong to requests
    }
}

void RequestDispatcher::check_overdue_attempt(RequestState& request) {
    if (request.attempts_in_flight == 0 || request.is_queued) return;
    Endpoint* endpoint = load_balancer_.find(request.last_endpoint);
    if (!endpoint) return;
    const OverdueDecision decision = overdue_check_.check(request, *endpoint);
    const RequestId id = request.arrival.id;
    switch (decision.action) {
        case OverdueAction::none:
            return;
        case OverdueAction::check_again:
            return context_.start_timer(decision.check_after, TimerKind::attempt_check, id);
        case OverdueAction::hedge:
            if (retry_policy_.may_hedge()) try_send(request);
            return;
        case OverdueAction::cancel:
            return context_.emit(CancelAttempt{id, request.attempts - 1});
    }
}

// A rejection permits the client to retry the request; a failure does not.
void RequestDispatcher::end_without_success(RequestState& request) {
    if (!retry_policy_.client_may_repeat(request)) {
        context_.emit(FailRequest{request.arrival.id});
        return remove(request);
    }
    if (request.was_sent) return reject(request, RejectReason::no_response, 0us);
    reject(request, RejectReason::no_endpoint, micros(context_.traffic.mean_response_s));
}

void RequestDispatcher::reject(RequestState& request, RejectReason reason, Micros retry_after) {
    context_.emit(RejectRequest{request.arrival.id,
                                limited_retry_after(context_.settings, retry_after), reason});
    remove(request);
}

void RequestDispatcher::remove(RequestState& request) {
    CustomerQuota& customer = *request.customer;
    if (!request.was_sent) quota_.release(customer, request.reservation);
    --customer.open_requests;
    const RequestId id = request.arrival.id;
    requests_.erase(id);
}

}  // namespace silverreach
