#include "tests/soak/guarantee_checker.h"

#include <algorithm>
#include <cmath>

namespace soak {
namespace {
double seconds(Micros time) {
    return static_cast<double>(time.count()) / 1e6;
}
std::string format_milliseconds(Micros time) {
    return std::to_string(time.count() / 1000) + " ms";
}
std::string request_prefix(std::uint64_t id) {
    return "request " + std::to_string(id) + ": ";
}
}  // namespace

std::string name_of(ViolationKind kind) {
    static const std::vector<std::string> texts{
        "lost",     "late",    "second_word", "foreign",   "twice",     "two_out", "client_gone",
        "deadline", "drained", "ceiling",     "cold_host", "malformed", "crash",   "not_ready"};
    return texts.at(static_cast<std::size_t>(kind));
}

void GuaranteeChecker::add_violation(Micros time, ViolationKind kind, std::string description) {
    violations_.push_back({kind, time, std::move(description)});
}

void GuaranteeChecker::on_request_sent(Micros time, std::uint64_t id, Effect effect,
                                       Micros deadline, bool is_capped) {
    Request& request = requests_[id];
    request.effect = effect;
    request.sent_at = time;
    request.deadline_at = time + deadline;
    request.is_capped = is_capped;
}

void GuaranteeChecker::on_answer(Micros time, std::uint64_t id, bool is_value,
                                 const std::string& value, Micros previous_answer_at) {
    const auto it = requests_.find(id);
    if (it == requests_.end())
        return add_violation(time, ViolationKind::unexpected_answer, "an answer without a request");
    Request& request = it->second;
    if (request.is_answered)
        add_violation(time, ViolationKind::unexpected_answer,
                      request_prefix(id) + "answered twice");
    request.is_answered = true;
    ++(is_value ? served_count_ : refused_or_failed_count_);
    const Micros due_at = std::max(request.deadline_at, previous_answer_at);
    if (time > due_at + limits_.late_answer_tolerance + observer_lag_)
        add_violation(
            time, ViolationKind::late,
            request_prefix(id) + format_milliseconds(time - due_at) + " after its deadline");
    if (is_value && value != "for " + std::to_string(id))
        add_violation(time, ViolationKind::wrong_value,
                      request_prefix(id) + "received '" + value.substr(0, 40) + "'");
}

void GuaranteeChecker::on_client_closed(Micros time, std::uint64_t id) {
    const auto it = requests_.find(id);
    if (it == requests_.end()) return;
    it->second.closed_at = time;
    it->second.is_excused = true;
}
void GuaranteeChecker::excuse(std::uint64_t id) {
    if (const auto it = requests_.find(id); it != requests_.end()) it->second.is_excused = true;
}
void GuaranteeChecker::on_connection_dropped(Micros time, std::uint64_t id,
                                             const std::string& gateway) {
    const auto it = requests_.find(id);
    if (it == requests_.end() || it->second.is_excused || it->second.is_answered) return;
    it->second.is_excused = true;
    add_violation(time, ViolationKind::lost,
                  request_prefix(id) + "its connection was closed by " + gateway +
                      " without an answer, " + format_milliseconds(time - it->second.sent_at) +
                      " after it was sent");
}

void GuaranteeChecker::on_attempt(Micros time, std::uint64_t id, const std::string& host, int cell,
                                  std::int64_t deadline_ms) {
    ++attempt_count_;
    const auto it = requests_.find(id);
    if (it == requests_.end())
        return add_violation(time, ViolationKind::malformed,
                             request_prefix(id) + "no client sent this request");
    Request& request = it->second;
    const Micros passed_deadline = std::chrono::milliseconds(deadline_ms);
    if (request.closed_at &&
        time > *request.closed_at + limits_.closed_client_tolerance + observer_lag_)
        add_violation(time, ViolationKind::client_gone,
                      request_prefix(id) + "attempt " +
                          format_milliseconds(time - *request.closed_at) +
                          " after the client's close");
    if (time + passed_deadline > request.deadline_at + limits_.deadline_tolerance + observer_lag_)
        add_violation(time, ViolationKind::excessive_deadline,
                      request_prefix(id) + "passed deadline " +
                          format_milliseconds(passed_deadline) + ", remaining time " +
                          format_milliseconds(request.deadline_at - time));
    check_repeat(time, id, request, cell);
    if (request.is_capped && request.attempts.empty()) check_ceiling(time, id);
    check_cold_host(time, host);
    request.attempts.push_back({host, cell, time});
}

void GuaranteeChecker::check_repeat(Micros time, std::uint64_t id, const Request& request,
                                    int cell) {
    for (const Attempt& earlier : request.attempts) {
        if (earlier.is_pending)
            add_violation(time, ViolationKind::concurrent_attempt,
                          request_prefix(id) + "another attempt is pending at " + earlier.host);
        if (!earlier.may_have_run || request.effect == Effect::safe) continue;
        if (request.effect == Effect::unsafe)
            add_violation(
                time, ViolationKind::duplicate_effect,
                request_prefix(id) + "unsafe request repeated; it may have run at " + earlier.host);
        else if (cell != earlier.cell)
            add_violation(time, ViolationKind::duplicate_effect,
                          request_prefix(id) + "keyed request repeated outside its cell");
        else if (time - earlier.started_at >
                 limits_.repeat_window + limits_.protocol_tolerance + observer_lag_)
            add_violation(time, ViolationKind::duplicate_effect,
                          request_prefix(id) + "keyed request repeated " +
                              format_milliseconds(time - earlier.started_at) +
                              " after an earlier attempt");
    }
}

void GuaranteeChecker::check_ceiling(Micros time, std::uint64_t id) {
    if (!ceiling_updated_at_)
        ceiling_balance_ = limits_.ceiling_burst;
    else
        ceiling_balance_ = std::min(
            limits_.ceiling_burst,
            ceiling_balance_ + seconds(time - *ceiling_updated_at_) * limits_.ceiling_rate);
    ceiling_updated_at_ = time;
    ceiling_balance_ -= 1;
    if (ceiling_balance_ <
        -limits_.ceiling_tolerance - seconds(observer_lag_) * limits_.ceiling_rate)
        add_violation(
            time, ViolationKind::ceiling,
            request_prefix(id) + std::to_string(-ceiling_balance_) + " units over the ceiling");
}

void GuaranteeChecker::on_host_started(Micros time, const std::string& host) {
    cold_hosts_[host] = {time, {}};
}
void GuaranteeChecker::on_host_stopped(const std::string& host) {
    cold_hosts_.erase(host);
}

void GuaranteeChecker::check_cold_host(Micros time, const std::string& host) {
    const auto it = cold_hosts_.find(host);
    if (it == cold_hosts_.end()) return;
    ColdHost& cold_host = it->second;
    const double age = seconds(time - cold_host.started_at) / seconds(limits_.cold_duration);
    if (age >= 1) return void(cold_hosts_.erase(it));
    cold_host.attempts.push_back(time);
    std::erase_if(cold_host.attempts,
                  [&](Micros attempt_time) { return attempt_time < time - limits_.cold_window; });
    const double capacity = limits_.start_capacity + (1 - limits_.start_capacity) * age;
    const double allowed =
        limits_.overload_factor * capacity * limits_.warm_rate * seconds(limits_.cold_window);
    const double slack = allowed < 30 ? 3 * std::sqrt(allowed) + 3 : 2 * std::sqrt(allowed) + 2;
    if (static_cast<double>(cold_host.attempts.size()) <= allowed + slack) return;
    add_violation(time, ViolationKind::cold_host,
                  host + ": " + std::to_string(cold_host.attempts.size()) + " requests, budget " +
                      std::to_string(allowed + slack));
    cold_hosts_.erase(it);
}

void GuaranteeChecker::on_attempt_ended(std::uint64_t id, const std::string& host,
                                        bool may_have_run) {
    const auto it = requests_.find(id);
    if (it == requests_.end()) return;
    auto& attempts = it->second.attempts;
    const auto last = std::find_if(attempts.rbegin(), attempts.rend(), [&](const Attempt& a) {
        return a.host == host && a.is_pending;
    });
    if (last == attempts.rend()) return;
    last->is_pending = false;
    last->may_have_run = may_have_run;
}

void GuaranteeChecker::on_drain_announced(Micros time, const std::string& gateway,
                                          const std::string& host) {
    drain_announced_at_.try_emplace({gateway, host}, time);
}
void GuaranteeChecker::on_ready_announced(const std::string& gateway, const std::string& host) {
    drain_announced_at_.erase({gateway, host});
}
void GuaranteeChecker::on_gateway_attempt(Micros time, const std::string& gateway,
                                          const std::string& host) {
    const auto it = drain_announced_at_.find({gateway, host});
    if (it != drain_announced_at_.end() &&
        time > it->second + limits_.drain_grace + limits_.protocol_tolerance + observer_lag_)
        add_violation(time, ViolationKind::drained,
                      gateway + " sent to " + host + " " + format_milliseconds(time - it->second) +
                          " after it was announced as draining");
}

bool GuaranteeChecker::has_attempts(std::uint64_t id) const {
    const auto it = requests_.find(id);
    return it != requests_.end() && !it->second.attempts.empty();
}
void GuaranteeChecker::on_gateway_restarted(const std::string& gateway) {
    std::erase_if(drain_announced_at_,
                  [&](const auto& entry) { return entry.first.first == gateway; });
}

void GuaranteeChecker::finish(Micros time) {
    for (const auto& [id, request] : requests_)
        if (!request.is_answered && !request.is_excused &&
            time > request.deadline_at + limits_.late_answer_tolerance + observer_lag_)
            add_violation(time, ViolationKind::lost, request_prefix(id) + "never answered");
}

}  // namespace soak
