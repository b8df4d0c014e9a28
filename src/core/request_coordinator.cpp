#include "core/request_coordinator.h"

#include <algorithm>
#include <chrono>
#include <utility>
#include <variant>
#include <vector>

#include "core/timer_token.h"
#include "decisions/retry/repeat_rules.h"

namespace silverreach::core {
namespace {
using namespace std::chrono_literals;

constexpr Micros late_response_tolerance = 50ms;  // after the deadline
// Lower limit of what begin_send() returns, for an attempt whose deadline has passed.
constexpr Micros min_endpoint_timeout = 1us;

FailureReason failure_reason(const Request& request) {
    const bool timed_out = request.has_attempt_in_flight() ||
                           request.last_outcome == Outcome::timeout ||
                           request.last_outcome == Outcome::cancelled;
    return timed_out ? FailureReason::timed_out : FailureReason::bad_response;
}
}  // namespace

RequestCoordinator::RequestCoordinator(const Settings& settings, int subset_size,
                                       std::uint64_t seed, Micros now, Environment& environment)
    : engine_(settings, seed, now),
      rules_(settings),
      environment_(environment),
      instance_count_(settings.instance_count),
      subset_size_(subset_size) {}

AccountSubset RequestCoordinator::subset_of(std::string_view account) const {
    return account_subset(account, instance_count_, subset_size_);
}

void RequestCoordinator::start_request(Micros now, RequestId id,
                                       const ClientRequest& client_request) {
    ++counters_.received;
    const AccountSubset subset =
        client_request.subset ? *client_request.subset : subset_of(client_request.account);
    rules::RequestRecord& record = requests_.create(id).record;
    record.request_class = client_request.request_class;
    record.deadline = now + client_request.time_remaining;
    environment_.start_timer(client_request.time_remaining,
                             encode_timer({id, request_deadline_attempt}));
    handle_event(now, RequestArrived{.id = id,
                                     .customer = client_request.account,
                                     .plan = client_request.plan,
                                     .request_class = client_request.request_class,
                                     .units = client_request.units,
                                     .time_remaining = client_request.time_remaining,
                                     .subset_size = subset.size,
                                     .subset_start = subset.start});
}

bool RequestCoordinator::on_response_started(Micros now, const AttemptKey& key,
                                             const std::string& endpoint, Micros duration,
                                             const LoadReport& report, double actual_units) {
    Request* request = requests_.end_attempt(key);
    if (!request) return false;
    if (transport_calls_begin_send_ && requests_.find_attempt(key)->sent_at == 0us)
        ++counters_.unchecked_attempts;
    const bool should_forward = request->state == RequestState::pending;
    if (should_forward) {
        request->start_streaming(key.attempt);
        ++counters_.served;
    }
    handle_event(now, AttemptEnded{.id = key.request,
                                   .attempt = key.attempt,
                                   .endpoint = endpoint,
                                   .outcome = Outcome::success,
                                   .duration = duration,
                                   .request_completed = true,
                                   .actual_units = actual_units,
                                   .load_report = report});
    if (should_forward) withdraw_unsent_attempts(now, key.request);
    requests_.erase_if_finished(key.request);
    return should_forward;
}

bool RequestCoordinator::may_have_run(RequestId id) {
    const Request* request = requests_.find(id);
    return request &&
           std::ranges::any_of(request->record.attempts, &rules::AttemptRecord::may_have_run);
}

std::optional<Micros> RequestCoordinator::begin_send(Micros now, const AttemptKey& key) {
    transport_calls_begin_send_ = true;
    rules::AttemptRecord* attempt = requests_.find_attempt(key);
    if (!attempt || attempt->ended) return std::nullopt;
    const Request& request = *requests_.find(key.request);
    const auto index = static_cast<std::size_t>(key.attempt);
    if (const rules::CheckResult block_reason = rules_.check_send(now, request.record, index)) {
        counters_.blocked_sends.add(*block_reason);
        environment_.on_attempt_blocked(key, attempt->endpoint, *block_reason);
        return std::nullopt;
    }
    attempt->sent_at = now;
    return std::max(request.attempt_deadlines[index] - now, min_endpoint_timeout);
}

void RequestCoordinator::on_response_ended(Micros /*now*/, RequestId id, bool is_complete) {
    Request* request = requests_.find(id);
    if (!request || request->state != RequestState::streaming) return;
    if (!is_complete) ++counters_.aborted;
    request->complete_streaming();
    requests_.erase_if_finished(id);
}

void RequestCoordinator::on_attempt_ended(Micros now, const AttemptKey& key,
                                          const std::string& endpoint, Outcome outcome,
                                          Micros duration, const LoadReport& report) {
    Request* request = requests_.end_attempt(key, proves_not_run(outcome));
    if (!request) return;
    request->last_outcome = outcome;
    handle_event(now, AttemptEnded{.id = key.request,
                                   .attempt = key.attempt,
                                   .endpoint = endpoint,
                                   .outcome = outcome,
                                   .duration = duration,
                                   .request_completed = request->state != RequestState::pending,
                                   .actual_units = 0,
                                   .load_report = report});
    requests_.erase_if_finished(key.request);
}

// Attempts that have been sent continue, except one whose response is being streamed: endpoints do
// not stop when an attempt is cancelled, and their responses still carry load reports.
void RequestCoordinator::on_client_disconnected(Micros now, RequestId id) {
    Request* request = requests_.find(id);
    if (!request || request->state == RequestState::completed) return;
    const bool was_streaming = request->state == RequestState::streaming;
    const AttemptKey streaming_key{id, request->streaming_attempt};
    ++counters_.disconnected;
    request->complete_after_disconnect();
    withdraw_unsent_attempts(now, id);
    if (was_streaming)
        environment_.cancel_attempt(streaming_key);
    else
        handle_event(now, ClientDisconnected{id});
    requests_.erase_if_finished(id);
}

void RequestCoordinator::on_endpoints_changed(Micros now, EndpointsChanged event) {
    rules_.on_endpoints_changed(event);
    handle_event(now, std::move(event));
}

void RequestCoordinator::on_health_check_ended(Micros now, HealthCheckEnded event) {
    handle_event(now, std::move(event));
}

void RequestCoordinator::on_peer_message(Micros now, PeerMessageReceived event) {
    handle_event(now, std::move(event));
}

void RequestCoordinator::on_timer(Micros now, Timer timer) {
    if (!is_core_timer(timer)) return handle_event(now, TimerFired{timer.token});
    const AttemptKey key = decode_timer(timer);
    if (key.attempt == request_deadline_attempt)
        on_request_deadline(now, key.request);
    else
        stop_attempt(now, key, Outcome::timeout);
}

// The environment may call the coordinator while actions are carried out. The events of these calls
// are queued, so that the engine handles one event at a time, in order.
void RequestCoordinator::handle_event(Micros now, Event event) {
    event_queue_.push_back(std::move(event));
    if (is_handling_event_) return;
    is_handling_event_ = true;
    std::vector<Action> actions;
    while (!event_queue_.empty()) {
        const Event next = std::move(event_queue_.front());
        event_queue_.pop_front();
        actions.clear();
        engine_.handle(now, next, actions);
        for (const Action& action : actions)
            std::visit([&](const auto& typed_action) { carry_out(now, typed_action); }, action);
    }
    is_handling_event_ = false;
}

// If the rules block the attempt, reports it to the engine as not_started.
void RequestCoordinator::carry_out(Micros now, const SendAttempt& action) {
    const auto report_not_started = [&](bool request_completed) {
        event_queue_.emplace_back(AttemptEnded{.id = action.id,
                                               .endpoint = action.endpoint,
                                               .outcome = Outcome::not_started,
                                               .request_completed = request_completed});
    };
    Request* request = requests_.find(action.id);
    if (!request) return report_not_started(true);
    rules::RequestRecord& record = request->record;
    const AttemptKey key{action.id, static_cast<int>(record.attempts.size())};
    if (const rules::CheckResult block_reason = rules_.check_start(now, record, action.endpoint)) {
        counters_.blocked_choices.add(*block_reason);
        environment_.on_attempt_blocked(key, action.endpoint, *block_reason);
        return report_not_started(request->state != RequestState::pending ||
                                  now >= record.deadline);
    }
    record.attempts.push_back(rules_.make_attempt(action.endpoint, now));
    const bool has_own_timeout = action.timeout > 0us && now + action.timeout < record.deadline;
    const Micros attempt_deadline = has_own_timeout ? now + action.timeout : record.deadline;
    request->attempt_deadlines.push_back(attempt_deadline);
    ++counters_.attempts;
    // The timer for the request's deadline stops all its attempts. An attempt with an earlier
    // deadline gets its own timer.
    if (has_own_timeout) environment_.start_timer(action.timeout, encode_timer(key));
    environment_.send_attempt(key, action.endpoint, attempt_deadline - now);
}

void RequestCoordinator::carry_out(Micros now, const RejectRequest& action) {
    respond(now, action.id,
            {.rejected = true, .reject_reason = action.reason, .retry_after = action.retry_after});
}

void RequestCoordinator::carry_out(Micros now, const FailRequest& action) {
    if (const Request* request = requests_.find(action.id))
        respond(now, action.id, {.failure_reason = failure_reason(*request)});
}

void RequestCoordinator::carry_out(Micros now, const CancelAttempt& action) {
    stop_attempt(now, {action.id, action.attempt}, Outcome::cancelled);
}

void RequestCoordinator::carry_out(Micros /*now*/, const StartHealthCheck& action) {
    environment_.start_health_check(action.endpoint);
}

void RequestCoordinator::carry_out(Micros /*now*/, const SetTimer& action) {
    environment_.start_timer(action.delay, {action.token});
}

void RequestCoordinator::carry_out(Micros /*now*/, const SendPeerMessage& action) {
    environment_.send_peer_message(action.to, action.bytes);
}

void RequestCoordinator::respond(Micros now, RequestId id, const FinalResponse& response) {
    Request* request = requests_.find(id);
    if (!request || request->state != RequestState::pending) return;
    request->complete_with_gateway_response();
    if (now > request->record.deadline + late_response_tolerance) ++counters_.late_responses;
    ++(response.rejected ? counters_.rejected : counters_.failed);
    environment_.finish_request(id, response);
    withdraw_unsent_attempts(now, id);
    requests_.erase_if_finished(id);
}

// The engine normally responds before the deadline. If it has not, the coordinator responds, so
// that the invariant does not depend on the engine's timers. Attempts in flight end as timed out.
void RequestCoordinator::on_request_deadline(Micros now, RequestId id) {
    Request* request = requests_.find(id);
    if (!request) return;
    if (request->state == RequestState::pending) {
        respond(now, id, {.failure_reason = FailureReason::timed_out});
    } else if (request->state == RequestState::streaming) {
        ++counters_.aborted;
        request->complete_streaming();
        environment_.cancel_attempt({id, request->streaming_attempt});
        environment_.abort_response(id);
    }
    request = requests_.find(id);
    if (!request) return;
    const int attempt_count = static_cast<int>(request->record.attempts.size());
    for (int attempt = 0; attempt < attempt_count; ++attempt)
        stop_attempt(now, {id, attempt}, Outcome::timeout);
    requests_.erase_if_finished(id);
}

void RequestCoordinator::stop_attempt(Micros now, const AttemptKey& key, Outcome outcome) {
    const rules::AttemptRecord* found = requests_.find_attempt(key);
    if (!found || found->ended) return;
    const rules::AttemptRecord attempt = *found;  // copy: cancel_attempt may erase the request
    environment_.cancel_attempt(key);
    on_attempt_ended(now, key, attempt.endpoint, outcome, now - attempt.chosen_at, {});
}

// Once a request is completed, no client needs the response of an attempt that has not been sent.
void RequestCoordinator::withdraw_unsent_attempts(Micros now, RequestId id) {
    for (AttemptKey key{id, 0}; const auto* found = requests_.find_attempt(key); ++key.attempt) {
        const rules::AttemptRecord attempt = *found;
        if (!attempt.ended && environment_.withdraw_attempt(key))
            on_attempt_ended(now, key, attempt.endpoint, Outcome::not_started,
                             now - attempt.chosen_at, {});
    }
}

}  // namespace silverreach::core
