#include "core/core.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace silverreach::core {
namespace {
using namespace std::chrono_literals;

// The module's tokens stay below the top bit; the core's own carry it, a request and an attempt. Attempt 255
// stands for the request's deadline.
constexpr std::uint64_t own_bit = 1ull << 63;
constexpr int whole_request = 255;

AttemptKey key_of(Timer timer) {
    return {(timer.token & ~own_bit) >> 8, static_cast<int>(timer.token & 0xFF)};
}
}  // namespace

AccountSet account_set(std::string_view account, int instances, int spread) {
    const int size = spread <= 0 ? instances : std::min(spread, instances);
    if (size == instances) return {size, 0};
    const auto hash = XXH64(account.data(), account.size(), 0);
    return {size, static_cast<int>(hash % static_cast<std::uint64_t>(instances))};
}

Core::Core(const Settings& settings, int spread, std::uint64_t seed, Micros now, Outside& outside)
    : module_(settings, seed, now), outside_(outside), instances_(settings.instances), spread_(spread) {}

AccountSet Core::set_of(std::string_view account) const { return account_set(account, instances_, spread_); }

void Core::take(Micros now, RequestId id, const Try& t) {
    ++counts_.taken;
    const AccountSet set = t.set ? *t.set : set_of(t.account);
    requests_[id].deadline = now + t.time_left;
    own_timer(t.time_left, {id, whole_request});
    feed(now,
         RequestArrived{id, t.account, t.plan, t.request_class, t.units, t.time_left, set.size, set.start});
}

bool Core::answer_begins(Micros now, const AttemptKey& key, const std::string& host, Micros took,
                         const LoadReport& report, double true_units) {
    Request* request = close(key);
    if (!request) return false;
    const bool first = request->state == State::held;
    if (first) {
        request->state = State::bound, request->bound_attempt = key.attempt;
        ++counts_.served;
    }
    feed(now, AttemptEnded{key.request, key.attempt, host, Outcome::good, took, true, true_units, report});
    if (first) withdraw(now, key.request);
    forget_if_over(key.request);
    return first;
}

void Core::answer_ended(Micros, RequestId id, bool whole) {
    const auto it = requests_.find(id);
    if (it == requests_.end() || it->second.state != State::bound) return;
    if (!whole) ++counts_.broken;
    it->second.state = State::over;
    forget_if_over(id);
}

void Core::attempt_ended(Micros now, const AttemptKey& key, const std::string& host, Outcome outcome,
                         Micros took, const LoadReport& report) {
    Request* request = close(key);
    if (!request) return;
    request->last = outcome;
    feed(now, AttemptEnded{key.request, key.attempt, host, outcome, took, request->state != State::held, 0,
                           report});
    forget_if_over(key.request);
}

void Core::client_left(Micros now, RequestId id) {
    const auto it = requests_.find(id);
    if (it == requests_.end() || it->second.state == State::over) return;
    const bool held = it->second.state == State::held;
    const int bound = it->second.bound_attempt;
    ++counts_.left;
    it->second.state = State::over;
    // Attempts that run go on: hosts do not stop for a cancel, and their answers still tell of their load.
    withdraw(now, id);
    if (held) feed(now, ClientLeft{id});
    else outside_.cancel({id, bound});
    forget_if_over(id);
}

void Core::hosts_changed(Micros now, HostsChanged change) { feed(now, std::move(change)); }
void Core::probe_ended(Micros now, ProbeEnded ended) { feed(now, std::move(ended)); }
void Core::message_arrived(Micros now, MessageArrived message) { feed(now, std::move(message)); }

void Core::timer_fired(Micros now, Timer timer) {
    if (!(timer.token & own_bit)) return feed(now, TimerFired{timer.token});
    const AttemptKey key = key_of(timer);
    if (key.attempt == whole_request) time_up(now, key.request);
    else attempt_due(now, key);
}

// One event at a time: what comes back into the core while actions are carried out waits its turn, so the
// module sees events in order and never itself.
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
        for (const Action& action : actions) carry_out(now, action);
    }
    busy_ = false;
}

void Core::carry_out(Micros now, const Action& action) {
    if (const auto* a = std::get_if<SendAttempt>(&action)) return send(now, *a);
    if (const auto* a = std::get_if<SetTimer>(&action)) return outside_.start_timer(a->from_now, {a->token});
    if (const auto* a = std::get_if<ProbeHost>(&action)) return outside_.probe(a->host);
    if (const auto* a = std::get_if<SendMessage>(&action)) return outside_.tell(a->to, a->bytes);
    if (const auto* a = std::get_if<CancelAttempt>(&action)) {
        const AttemptKey key{a->id, a->attempt};
        const auto it = requests_.find(a->id);
        if (it == requests_.end() || a->attempt >= static_cast<int>(it->second.attempts.size())) return;
        const Attempt attempt = it->second.attempts[static_cast<std::size_t>(a->attempt)];
        if (attempt.ended) return;
        outside_.cancel(key);
        return attempt_ended(now, key, attempt.host, Outcome::cancelled, now - attempt.sent, {});
    }
    const bool refusal = std::holds_alternative<Refuse>(action);
    const RequestId id = refusal ? std::get<Refuse>(action).id : std::get<Fail>(action).id;
    const auto it = requests_.find(id);
    if (it == requests_.end() || it->second.state != State::held) return;
    Final answer;
    answer.refused = refusal;
    if (refusal) {
        answer.refuse_reason = std::get<Refuse>(action).reason;
        answer.retry_after = std::get<Refuse>(action).retry_after;
    } else {
        const auto out = std::any_of(it->second.attempts.begin(), it->second.attempts.end(),
                                     [](const Attempt& a) { return !a.ended; });
        const bool late = out || it->second.last == Outcome::timeout || it->second.last == Outcome::cancelled;
        answer.fail_reason = late ? FailReason::no_time : FailReason::bad_answer;
    }
    end(now, id, it->second, answer);
    forget_if_over(id);
}

void Core::send(Micros now, const SendAttempt& action) {
    const auto it = requests_.find(action.id);
    // Nothing is sent for a request that has its answer, whatever the module still believes.
    if (it == requests_.end() || it->second.state != State::held || now >= it->second.deadline) {
        queue_.push_back(AttemptEnded{action.id, 0, action.host, Outcome::moot, 0us, true, 0, {}});
        return;
    }
    Request& request = it->second;
    const AttemptKey key{action.id, static_cast<int>(request.attempts.size())};
    request.attempts.push_back({action.host, now});
    ++counts_.attempts;
    // The deadline's timer ends every attempt as well; a shorter time of the attempt's own needs another.
    if (action.within > 0us && now + action.within < request.deadline) own_timer(action.within, key);
    const Micros left = request.deadline - now;
    outside_.send(key, action.host, action.within > 0us ? std::min(action.within, left) : left);
}

void Core::end(Micros now, RequestId id, Request& request, const Final& answer) {
    request.state = State::over;
    ++(answer.refused ? counts_.refused : counts_.failed);
    outside_.finish(id, answer);
    withdraw(now, id);
}

// The client's time is up. The module has answered before that; if it has not, the core does, so that the
// first rule does not rest on one timer alone. Attempts still out end as timed out.
void Core::time_up(Micros now, RequestId id) {
    auto it = requests_.find(id);
    if (it == requests_.end()) return;
    if (it->second.state == State::held) {
        Final late;
        late.fail_reason = FailReason::no_time;
        end(now, id, it->second, late);
    } else if (it->second.state == State::bound) {
        ++counts_.broken;
        it->second.state = State::over;
        outside_.cancel({id, it->second.bound_attempt});
        outside_.cut(id);
    }
    it = requests_.find(id);
    const int attempts = it == requests_.end() ? 0 : static_cast<int>(it->second.attempts.size());
    for (int i = 0; i < attempts; ++i) attempt_due(now, {id, i});
    forget_if_over(id);
}

// An attempt that has not gone out, since its connection is still coming up, would begin for nobody.
void Core::withdraw(Micros now, RequestId id) {
    const auto of = [&] { return requests_.find(id); };
    for (std::size_t i = 0; of() != requests_.end() && i < of()->second.attempts.size(); ++i) {
        const AttemptKey key{id, static_cast<int>(i)};
        const Attempt attempt = of()->second.attempts[i];
        if (!attempt.ended && outside_.withdraw(key))
            attempt_ended(now, key, attempt.host, Outcome::moot, now - attempt.sent, {});
    }
}

void Core::attempt_due(Micros now, const AttemptKey& key) {
    const auto it = requests_.find(key.request);
    if (it == requests_.end() || key.attempt >= static_cast<int>(it->second.attempts.size())) return;
    const Attempt attempt = it->second.attempts[static_cast<std::size_t>(key.attempt)];
    if (attempt.ended) return;
    outside_.cancel(key);
    attempt_ended(now, key, attempt.host, Outcome::timeout, now - attempt.sent, {});
}

void Core::own_timer(Micros from_now, const AttemptKey& key) {
    outside_.start_timer(from_now, {own_bit | key.request << 8 | static_cast<std::uint64_t>(key.attempt)});
}

Core::Request* Core::close(const AttemptKey& key) {
    const auto it = requests_.find(key.request);
    if (it == requests_.end() || key.attempt < 0 ||
        key.attempt >= static_cast<int>(it->second.attempts.size()))
        return nullptr;
    Attempt& attempt = it->second.attempts[static_cast<std::size_t>(key.attempt)];
    return std::exchange(attempt.ended, true) ? nullptr : &it->second;
}

void Core::forget_if_over(RequestId id) {
    const auto it = requests_.find(id);
    if (it == requests_.end() || it->second.state != State::over) return;
    for (const Attempt& attempt : it->second.attempts)
        if (!attempt.ended) return;
    requests_.erase(it);
}

}  // namespace silverreach::core
