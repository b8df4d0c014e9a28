#include "core/core.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace silverreach::core {
namespace {
using namespace std::chrono_literals;

// The module's tokens stay below the top bit; the core's own carry it, a request and an attempt.
// Attempt 255 stands for the request's deadline.
constexpr std::uint64_t own_bit = 1ull << 63;
constexpr int whole_request = 255;
constexpr Micros answer_slack = 50ms;  // of a request's time, within which its answer still counts

AttemptKey key_of(Timer timer) {
    return {(timer.token & ~own_bit) >> 8, static_cast<int>(timer.token & 0xFF)};
}
}  // namespace

AccountSubset account_subset(std::string_view account, int instances, int spread) {
    const int size = spread <= 0 ? instances : std::min(spread, instances);
    if (size == instances) return {size, 0};
    const auto hash = XXH64(account.data(), account.size(), 0);
    return {size, static_cast<int>(hash % static_cast<std::uint64_t>(instances))};
}

Core::Core(const Settings& settings, int spread, std::uint64_t seed, Micros now,
           Environment& outside)
    : module_(settings, seed, now),
      rules_(settings),
      outside_(outside),
      instances_(settings.instance_count),
      spread_(spread) {}

AccountSubset Core::subset_of(std::string_view account) const {
    return account_subset(account, instances_, spread_);
}

void Core::start_request(Micros now, RequestId id, const ClientRequest& t) {
    ++counts_.received;
    const AccountSubset set = t.subset ? *t.subset : subset_of(t.account);
    rules::RequestRecord& facts = requests_[id].facts;
    facts.request_class = t.request_class;
    facts.deadline = now + t.time_remaining;
    own_timer(t.time_remaining, {id, whole_request});
    feed(now, RequestArrived{id, t.account, t.plan, t.request_class, t.units, t.time_remaining,
                             set.size, set.start});
}

bool Core::on_response_started(Micros now, const AttemptKey& key, const std::string& host,
                               Micros took, const LoadReport& report, double true_units) {
    Request* request = close(key);
    if (!request) return false;
    const Attempt& attempt = request->facts.attempts[static_cast<std::size_t>(key.attempt)];
    if (checks_handovers_ && attempt.sent_at == 0us) ++counts_.unchecked_attempts;
    const bool first = request->state == State::held;
    if (first) {
        request->state = State::bound, request->bound_attempt = key.attempt;
        request->facts.answered = true;
        ++counts_.served;
    }
    feed(now, AttemptEnded{key.request, key.attempt, host, Outcome::success, took, true, true_units,
                           report});
    if (first) withdraw(now, key.request);
    forget_if_over(key.request);
    return first;
}

std::optional<Micros> Core::begin_send(Micros now, const AttemptKey& key) {
    checks_handovers_ = true;
    const auto it = requests_.find(key.request);
    const auto at = static_cast<std::size_t>(key.attempt);
    if (it == requests_.end() || key.attempt < 0 || at >= it->second.facts.attempts.size())
        return std::nullopt;
    Request& request = it->second;
    Attempt& attempt = request.facts.attempts[at];
    if (attempt.ended) return std::nullopt;
    if (const rules::Verdict stop = rules_.check_send(now, request.facts, at)) {
        counts_.blocked_sends.add(*stop);
        outside_.on_attempt_blocked(key, attempt.endpoint, *stop);
        return std::nullopt;
    }
    attempt.sent_at = now;
    return std::max(request.wait_until[at] - now, 1us);
}

void Core::on_response_ended(Micros, RequestId id, bool whole) {
    const auto it = requests_.find(id);
    if (it == requests_.end() || it->second.state != State::bound) return;
    if (!whole) ++counts_.aborted;
    it->second.state = State::over;
    forget_if_over(id);
}

void Core::on_attempt_ended(Micros now, const AttemptKey& key, const std::string& host,
                            Outcome outcome, Micros took, const LoadReport& report) {
    const bool never_ran = outcome == Outcome::rejected || outcome == Outcome::connect_failed ||
                           outcome == Outcome::not_started;
    Request* request = close(key, never_ran);
    if (!request) return;
    request->last = outcome;
    feed(now, AttemptEnded{key.request, key.attempt, host, outcome, took,
                           request->state != State::held, 0, report});
    forget_if_over(key.request);
}

void Core::on_client_disconnected(Micros now, RequestId id) {
    const auto it = requests_.find(id);
    if (it == requests_.end() || it->second.state == State::over) return;
    const bool held = it->second.state == State::held;
    const int bound = it->second.bound_attempt;
    ++counts_.disconnected;
    it->second.state = State::over;
    it->second.facts.client_disconnected = true;
    // Attempts that run go on: hosts do not stop for a cancel, and their answers still tell of
    // their load.
    withdraw(now, id);
    if (held)
        feed(now, ClientDisconnected{id});
    else
        outside_.cancel_attempt({id, bound});
    forget_if_over(id);
}

void Core::on_endpoints_changed(Micros now, EndpointsChanged change) {
    rules_.on_endpoints_changed(change);
    feed(now, std::move(change));
}
void Core::on_health_check_ended(Micros now, HealthCheckEnded ended) {
    feed(now, std::move(ended));
}
void Core::on_peer_message(Micros now, PeerMessageReceived message) {
    feed(now, std::move(message));
}

void Core::on_timer(Micros now, Timer timer) {
    if (!(timer.token & own_bit)) return feed(now, TimerFired{timer.token});
    const AttemptKey key = key_of(timer);
    if (key.attempt == whole_request)
        time_up(now, key.request);
    else
        attempt_due(now, key);
}

// One event at a time: what comes back into the core while actions are carried out waits its turn,
// so the module sees events in order and never itself.
void Core::feed(Micros now, Event event) {
    queue_.push_back(std::move(event));
    if (busy_) return;
    busy_ = true;
    std::vector<Action> actions;
    while (!queue_.empty()) {
        const Event next = std::move(queue_.front());
        queue_.pop_front();
        actions.clear();
        module_.handle(now, next, actions);
        for (const Action& action : actions)
            carry_out(now, action);
    }
    busy_ = false;
}

void Core::carry_out(Micros now, const Action& action) {
    if (const auto* a = std::get_if<SendAttempt>(&action)) return send(now, *a);
    if (const auto* a = std::get_if<SetTimer>(&action))
        return outside_.start_timer(a->delay, {a->token});
    if (const auto* a = std::get_if<StartHealthCheck>(&action))
        return outside_.start_health_check(a->endpoint);
    if (const auto* a = std::get_if<SendPeerMessage>(&action))
        return outside_.send_message(a->to, a->bytes);
    if (const auto* a = std::get_if<CancelAttempt>(&action)) {
        const AttemptKey key{a->id, a->attempt};
        const auto it = requests_.find(a->id);
        if (it == requests_.end() ||
            a->attempt >= static_cast<int>(it->second.facts.attempts.size()))
            return;
        const Attempt attempt = it->second.facts.attempts[static_cast<std::size_t>(a->attempt)];
        if (attempt.ended) return;
        outside_.cancel_attempt(key);
        return on_attempt_ended(now, key, attempt.endpoint, Outcome::cancelled,
                                now - attempt.chosen_at, {});
    }
    const bool refusal = std::holds_alternative<RejectRequest>(action);
    const RequestId id =
        refusal ? std::get<RejectRequest>(action).id : std::get<FailRequest>(action).id;
    const auto it = requests_.find(id);
    if (it == requests_.end() || it->second.state != State::held) return;
    FinalResponse answer;
    answer.rejected = refusal;
    if (refusal) {
        answer.reject_reason = std::get<RejectRequest>(action).reason;
        answer.retry_after = std::get<RejectRequest>(action).retry_after;
    } else {
        const auto out =
            std::any_of(it->second.facts.attempts.begin(), it->second.facts.attempts.end(),
                        [](const Attempt& a) { return !a.ended; });
        const bool late =
            out || it->second.last == Outcome::timeout || it->second.last == Outcome::cancelled;
        answer.failure_reason = late ? FailureReason::timed_out : FailureReason::bad_response;
    }
    end(now, id, it->second, answer);
    forget_if_over(id);
}

// The module chose; the rules say whether it may be. What they stop ends as an attempt that was
// never sent.
void Core::send(Micros now, const SendAttempt& action) {
    const auto it = requests_.find(action.id);
    const auto moot = [&](bool settled) {
        queue_.push_back(
            AttemptEnded{action.id, 0, action.endpoint, Outcome::not_started, 0us, settled, 0, {}});
    };
    if (it == requests_.end()) return moot(true);
    Request& request = it->second;
    const AttemptKey key{action.id, static_cast<int>(request.facts.attempts.size())};
    if (const rules::Verdict stop = rules_.check_start(now, request.facts, action.endpoint)) {
        counts_.blocked_choices.add(*stop);
        outside_.on_attempt_blocked(key, action.endpoint, *stop);
        return moot(request.state != State::held || now >= request.facts.deadline);
    }
    request.facts.attempts.push_back(rules_.make_attempt(action.endpoint, now));
    const Micros deadline = request.facts.deadline;
    const Micros until = action.timeout > 0us ? std::min(now + action.timeout, deadline) : deadline;
    request.wait_until.push_back(until);
    ++counts_.attempts;
    // The deadline's timer ends every attempt as well; a shorter time of the attempt's own needs
    // another.
    if (until < deadline) own_timer(action.timeout, key);
    outside_.send_attempt(key, action.endpoint, until - now);
}

void Core::end(Micros now, RequestId id, Request& request, const FinalResponse& answer) {
    request.state = State::over;
    request.facts.answered = true;
    if (now > request.facts.deadline + answer_slack) ++counts_.late_responses;
    ++(answer.rejected ? counts_.rejected : counts_.failed);
    outside_.finish_request(id, answer);
    withdraw(now, id);
}

// The client's time is up. The module has answered before that; if it has not, the core does, so
// that the first rule does not rest on one timer alone. Attempts still out end as timed out.
void Core::time_up(Micros now, RequestId id) {
    auto it = requests_.find(id);
    if (it == requests_.end()) return;
    if (it->second.state == State::held) {
        FinalResponse late;
        late.failure_reason = FailureReason::timed_out;
        end(now, id, it->second, late);
    } else if (it->second.state == State::bound) {
        ++counts_.aborted;
        it->second.state = State::over;
        outside_.cancel_attempt({id, it->second.bound_attempt});
        outside_.abort_response(id);
    }
    it = requests_.find(id);
    const int attempts =
        it == requests_.end() ? 0 : static_cast<int>(it->second.facts.attempts.size());
    for (int i = 0; i < attempts; ++i)
        attempt_due(now, {id, i});
    forget_if_over(id);
}

// An attempt that has not gone out, since its connection is still coming up, would begin for
// nobody.
void Core::withdraw(Micros now, RequestId id) {
    const auto of = [&] { return requests_.find(id); };
    for (std::size_t i = 0; of() != requests_.end() && i < of()->second.facts.attempts.size();
         ++i) {
        const AttemptKey key{id, static_cast<int>(i)};
        const Attempt attempt = of()->second.facts.attempts[i];
        if (!attempt.ended && outside_.withdraw_attempt(key))
            on_attempt_ended(now, key, attempt.endpoint, Outcome::not_started,
                             now - attempt.chosen_at, {});
    }
}

void Core::attempt_due(Micros now, const AttemptKey& key) {
    const auto it = requests_.find(key.request);
    if (it == requests_.end() || key.attempt >= static_cast<int>(it->second.facts.attempts.size()))
        return;
    const Attempt attempt = it->second.facts.attempts[static_cast<std::size_t>(key.attempt)];
    if (attempt.ended) return;
    outside_.cancel_attempt(key);
    on_attempt_ended(now, key, attempt.endpoint, Outcome::timeout, now - attempt.chosen_at, {});
}

void Core::own_timer(Micros from_now, const AttemptKey& key) {
    outside_.start_timer(from_now,
                         {own_bit | key.request << 8 | static_cast<std::uint64_t>(key.attempt)});
}

Core::Request* Core::close(const AttemptKey& key, bool never_ran) {
    const auto it = requests_.find(key.request);
    if (it == requests_.end() || key.attempt < 0 ||
        key.attempt >= static_cast<int>(it->second.facts.attempts.size()))
        return nullptr;
    Attempt& attempt = it->second.facts.attempts[static_cast<std::size_t>(key.attempt)];
    if (std::exchange(attempt.ended, true)) return nullptr;
    attempt.never_ran = never_ran;
    return &it->second;
}

void Core::forget_if_over(RequestId id) {
    const auto it = requests_.find(id);
    if (it == requests_.end() || it->second.state != State::over) return;
    for (const Attempt& attempt : it->second.facts.attempts)
        if (!attempt.ended) return;
    requests_.erase(it);
}

}  // namespace silverreach::core
