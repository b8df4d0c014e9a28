#include "tests/soak/ledger.h"

#include <algorithm>
#include <cmath>

namespace soak {
namespace {
double seconds(Micros t) {
    return static_cast<double>(t.count()) / 1e6;
}
std::string milliseconds(Micros t) {
    return std::to_string(t.count() / 1000) + " ms";
}
std::string named(std::uint64_t id) {
    return "request " + std::to_string(id) + ": ";
}
}  // namespace

std::string text_of(Breach breach) {
    static const std::vector<std::string> texts{
        "lost",     "late",    "second_word", "foreign",   "twice",     "two_out", "client_gone",
        "deadline", "drained", "ceiling",     "cold_host", "malformed", "crash",   "not_ready"};
    return texts.at(static_cast<std::size_t>(breach));
}

void Ledger::violation(Micros at, Breach breach, std::string what) {
    violations_.push_back({breach, at, std::move(what)});
}

void Ledger::sent(Micros at, std::uint64_t id, Effect effect, Micros deadline, bool capped) {
    Request& request = requests_[id];
    request.effect = effect;
    request.sent = at;
    request.until = at + deadline;
    request.capped = capped;
}

void Ledger::answered(Micros at, std::uint64_t id, bool whole_value, const std::string& value,
                      Micros turn) {
    const auto it = requests_.find(id);
    if (it == requests_.end()) return violation(at, Breach::second_word, "an answer to nothing");
    Request& request = it->second;
    if (request.answered) violation(at, Breach::second_word, named(id) + "answered twice");
    request.answered = true;
    ++(whole_value ? served_ : refused_or_failed_);
    const Micros due = std::max(request.until, turn);
    if (at > due + figures_.late_slack + lag_)
        violation(at, Breach::late, named(id) + milliseconds(at - due) + " after its time");
    if (whole_value && value != "for " + std::to_string(id))
        violation(at, Breach::foreign, named(id) + "got '" + value.substr(0, 40) + "'");
}

void Ledger::client_closed(Micros at, std::uint64_t id) {
    const auto it = requests_.find(id);
    if (it == requests_.end()) return;
    it->second.closed = at;
    it->second.excused = true;
}
void Ledger::excused(std::uint64_t id) {
    if (const auto it = requests_.find(id); it != requests_.end()) it->second.excused = true;
}
void Ledger::dropped(Micros at, std::uint64_t id, const std::string& gateway) {
    const auto it = requests_.find(id);
    if (it == requests_.end() || it->second.excused || it->second.answered) return;
    it->second.excused = true;
    violation(at, Breach::lost,
              named(id) + "its connection was ended by " + gateway + " without an answer, " +
                  milliseconds(at - it->second.sent) + " after it was sent");
}

void Ledger::attempt(Micros at, std::uint64_t id, const std::string& host, int cell,
                     std::int64_t told_ms) {
    ++attempts_;
    const auto it = requests_.find(id);
    if (it == requests_.end())
        return violation(at, Breach::malformed, named(id) + "no client sent it");
    Request& request = it->second;
    const Micros told = std::chrono::milliseconds(told_ms);
    if (request.closed && at > *request.closed + figures_.gone_slack + lag_)
        violation(at, Breach::client_gone,
                  named(id) + "begun " + milliseconds(at - *request.closed) + " after the close");
    if (at + told > request.until + figures_.deadline_slack + lag_)
        violation(at, Breach::deadline,
                  named(id) + "told " + milliseconds(told) + ", left " +
                      milliseconds(request.until - at));
    judge_repeat(at, id, request, cell);
    if (request.capped && request.attempts.empty()) judge_ceiling(at, id);
    judge_start(at, host);
    request.attempts.push_back({host, cell, at});
}

void Ledger::judge_repeat(Micros at, std::uint64_t id, const Request& request, int cell) {
    for (const Attempt& earlier : request.attempts) {
        if (earlier.out)
            violation(at, Breach::two_out, named(id) + "one is out at " + earlier.host);
        if (!earlier.ran || request.effect == Effect::safe) continue;
        if (request.effect == Effect::unsafe)
            violation(at, Breach::twice,
                      named(id) + "unsafe, and it may have run at " + earlier.host);
        else if (cell != earlier.cell)
            violation(at, Breach::twice, named(id) + "keyed, outside its cell");
        else if (at - earlier.at > figures_.repeat_window + figures_.answer_slack + lag_)
            violation(at, Breach::twice,
                      named(id) + "keyed, " + milliseconds(at - earlier.at) + " after the first");
    }
}

void Ledger::judge_ceiling(Micros at, std::uint64_t id) {
    if (!capped_at_)
        capped_level_ = figures_.hard_burst;
    else
        capped_level_ = std::min(figures_.hard_burst,
                                 capped_level_ + seconds(at - *capped_at_) * figures_.hard_rate);
    capped_at_ = at;
    capped_level_ -= 1;
    if (capped_level_ < -figures_.hard_slack - seconds(lag_) * figures_.hard_rate)
        violation(at, Breach::ceiling, named(id) + std::to_string(-capped_level_) + " units over");
}

void Ledger::host_started(Micros at, const std::string& host) {
    starts_[host] = {at, {}};
}
void Ledger::host_forgotten(const std::string& host) {
    starts_.erase(host);
}

void Ledger::judge_start(Micros at, const std::string& host) {
    const auto it = starts_.find(host);
    if (it == starts_.end()) return;
    Start& start = it->second;
    const double age = seconds(at - start.at) / seconds(figures_.cold_time);
    if (age >= 1) return void(starts_.erase(it));
    start.attempts.push_back(at);
    std::erase_if(start.attempts, [&](Micros t) { return t < at - figures_.cold_span; });
    const double capacity = figures_.start_capacity + (1 - figures_.start_capacity) * age;
    const double allowed =
        figures_.fall_multiple * capacity * figures_.warm_rate * seconds(figures_.cold_span);
    const double slack = allowed < 30 ? 3 * std::sqrt(allowed) + 3 : 2 * std::sqrt(allowed) + 2;
    if (static_cast<double>(start.attempts.size()) <= allowed + slack) return;
    violation(at, Breach::cold_host,
              host + ": " + std::to_string(start.attempts.size()) + " requests, budget " +
                  std::to_string(allowed + slack));
    starts_.erase(it);
}

void Ledger::attempt_over(std::uint64_t id, const std::string& host, bool ran) {
    const auto it = requests_.find(id);
    if (it == requests_.end()) return;
    auto& attempts = it->second.attempts;
    const auto last = std::find_if(attempts.rbegin(), attempts.rend(),
                                   [&](const Attempt& a) { return a.host == host && a.out; });
    if (last == attempts.rend()) return;
    last->out = false;
    last->ran = ran;
}

void Ledger::told_drained(Micros at, const std::string& gateway, const std::string& host) {
    drained_.try_emplace({gateway, host}, at);
}
void Ledger::told_ready(const std::string& gateway, const std::string& host) {
    drained_.erase({gateway, host});
}
void Ledger::attempt_by(Micros at, const std::string& gateway, const std::string& host) {
    const auto it = drained_.find({gateway, host});
    if (it != drained_.end() &&
        at > it->second + figures_.drain_grace + figures_.answer_slack + lag_)
        violation(
            at, Breach::drained,
            gateway + " sent to " + host + " " + milliseconds(at - it->second) + " after the word");
}

bool Ledger::attempted(std::uint64_t id) const {
    const auto it = requests_.find(id);
    return it != requests_.end() && !it->second.attempts.empty();
}
void Ledger::gateway_restarted(const std::string& gateway) {
    std::erase_if(drained_, [&](const auto& entry) { return entry.first.first == gateway; });
}

void Ledger::finish(Micros at) {
    for (const auto& [id, request] : requests_)
        if (!request.answered && !request.excused &&
            at > request.until + figures_.late_slack + lag_)
            violation(at, Breach::lost, named(id) + "never answered");
}

}  // namespace soak
