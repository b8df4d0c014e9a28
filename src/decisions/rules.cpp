#include "decisions/rules.h"

#include <numeric>

#include "decisions/repeat.h"

namespace silverreach::rules {

std::string_view text_of(Reason reason) {
    constexpr std::array<std::string_view, reason_count> texts{
        "answered",   "client_gone",  "time_over",   "host_not_ready", "attempts_spent",
        "second_out", "may_have_run", "window_over", "outside_group",  "requests_in_hand"};
    return texts[static_cast<std::size_t>(reason)];
}

std::uint64_t ReasonCounts::sum() const {
    return std::accumulate(counts_.begin(), counts_.end(), std::uint64_t{0});
}

void Rules::hosts_changed(const HostsChanged& change) {
    if (change.whole_list) hosts_.clear();
    for (const HostEntry& entry : change.entries) {
        if (entry.state == HostState::gone) hosts_.erase(entry.host);
        else hosts_[entry.host] = {entry.state, entry.zone, entry.cell};
    }
}

AttemptFacts Rules::attempt_at(const std::string& host, Micros now) const {
    AttemptFacts attempt;
    attempt.host = host;
    attempt.sent = now;
    if (const auto it = hosts_.find(host); it != hosts_.end()) {
        attempt.zone = it->second.zone;
        attempt.cell = it->second.cell;
    }
    return attempt;
}

Verdict Rules::may_begin(Micros now, const RequestFacts& request, const std::string& host) const {
    if (const Verdict stop = request_open(now, request)) return stop;
    if (const Verdict stop = host_ready(host)) return stop;
    if (request.attempts.size() >= static_cast<std::size_t>(settings_.max_attempts))
        return Reason::attempts_spent;
    const AttemptFacts next = attempt_at(host, now);
    for (const AttemptFacts& earlier : request.attempts)
        if (const Verdict stop = beside(now, request, earlier, next)) return stop;
    return std::nullopt;
}

Verdict Rules::may_hand_over(Micros now, const RequestFacts& request, std::size_t attempt) const {
    if (const Verdict stop = request_open(now, request)) return stop;
    const AttemptFacts& next = request.attempts.at(attempt);
    if (const Verdict stop = host_ready(next.host)) return stop;
    for (std::size_t i = 0; i < request.attempts.size(); ++i)
        if (i != attempt)
            if (const Verdict stop = beside(now, request, request.attempts[i], next)) return stop;
    return std::nullopt;
}

Verdict Rules::may_close(const ClientFacts& client) {
    if (client.client_gone || client.requests_in_hand == 0) return std::nullopt;
    return Reason::requests_in_hand;
}

Verdict Rules::request_open(Micros now, const RequestFacts& request) const {
    if (request.answered) return Reason::answered;
    if (request.client_gone) return Reason::client_gone;
    if (now >= request.deadline) return Reason::time_over;
    return std::nullopt;
}

Verdict Rules::host_ready(const std::string& host) const {
    const auto it = hosts_.find(host);
    if (it == hosts_.end() || it->second.state != HostState::up) return Reason::host_not_ready;
    return std::nullopt;
}

// Whether `next` may follow, or run beside, an earlier attempt of the same request.
Verdict Rules::beside(Micros now, const RequestFacts& request, const AttemptFacts& earlier,
                      const AttemptFacts& next) const {
    if (earlier.out() && !settings_.second_copies) return Reason::second_out;
    if (!earlier.may_have_run()) return std::nullopt;
    const RequestClass& request_class = settings_.classes.at(static_cast<std::size_t>(request.request_class));
    if (request_class.effect == Effect::safe) return std::nullopt;
    if (request_class.effect == Effect::unsafe) return Reason::may_have_run;
    const Micros first = earlier.handed_over_at > Micros(0) ? earlier.handed_over_at : earlier.sent;
    if (!repeat_window_open(request_class, first, now)) return Reason::window_over;
    if (!same_repeat_group(request_class.repeat_scope, earlier.zone, earlier.cell, next.zone, next.cell))
        return Reason::outside_group;
    return std::nullopt;
}

}  // namespace silverreach::rules
