#include "decisions/retry/attempt_rules.h"

#include <numeric>

#include "decisions/retry/repeat_rules.h"

namespace silverreach::rules {

std::string_view to_string(BlockReason reason) {
    constexpr std::array<std::string_view, block_reason_count> texts{
        "answered",   "client_gone",  "time_over",   "host_not_ready", "attempts_spent",
        "second_out", "may_have_run", "window_over", "outside_group",  "requests_in_hand"};
    return texts[static_cast<std::size_t>(reason)];
}

std::uint64_t BlockCounters::sum() const {
    return std::accumulate(counts_.begin(), counts_.end(), std::uint64_t{0});
}

void AttemptRules::on_endpoints_changed(const EndpointsChanged& change) {
    if (change.complete) hosts_.clear();
    for (const EndpointEntry& entry : change.endpoints) {
        if (entry.status == EndpointStatus::removed)
            hosts_.erase(entry.id);
        else
            hosts_[entry.id] = {entry.status, entry.zone, entry.cell};
    }
}

AttemptRecord AttemptRules::make_attempt(const std::string& host, Micros now) const {
    AttemptRecord attempt;
    attempt.endpoint = host;
    attempt.chosen_at = now;
    if (const auto it = hosts_.find(host); it != hosts_.end()) {
        attempt.zone = it->second.zone;
        attempt.cell = it->second.cell;
    }
    return attempt;
}

Verdict AttemptRules::check_start(Micros now, const RequestRecord& request,
                                  const std::string& host) const {
    if (const Verdict stop = request_open(now, request)) return stop;
    if (const Verdict stop = host_ready(host)) return stop;
    if (request.attempts.size() >= static_cast<std::size_t>(settings_.max_attempts))
        return BlockReason::max_attempts_reached;
    const AttemptRecord next = make_attempt(host, now);
    for (const AttemptRecord& earlier : request.attempts)
        if (const Verdict stop = beside(now, request, earlier, next)) return stop;
    return std::nullopt;
}

Verdict AttemptRules::check_send(Micros now, const RequestRecord& request,
                                 std::size_t attempt) const {
    if (const Verdict stop = request_open(now, request)) return stop;
    const AttemptRecord& next = request.attempts.at(attempt);
    if (const Verdict stop = host_ready(next.endpoint)) return stop;
    for (std::size_t i = 0; i < request.attempts.size(); ++i)
        if (i != attempt)
            if (const Verdict stop = beside(now, request, request.attempts[i], next)) return stop;
    return std::nullopt;
}

Verdict AttemptRules::check_close(const ConnectionRecord& client) {
    if (client.client_disconnected || client.pending_requests == 0) return std::nullopt;
    return BlockReason::requests_pending;
}

Verdict AttemptRules::request_open(Micros now, const RequestRecord& request) const {
    if (request.answered) return BlockReason::answered;
    if (request.client_disconnected) return BlockReason::client_disconnected;
    if (now >= request.deadline) return BlockReason::deadline_exceeded;
    return std::nullopt;
}

Verdict AttemptRules::host_ready(const std::string& host) const {
    const auto it = hosts_.find(host);
    if (it == hosts_.end() || it->second.state != EndpointStatus::available)
        return BlockReason::endpoint_unavailable;
    return std::nullopt;
}

// Whether `next` may follow, or run beside, an earlier attempt of the same request.
Verdict AttemptRules::beside(Micros now, const RequestRecord& request, const AttemptRecord& earlier,
                             const AttemptRecord& next) const {
    if (earlier.in_flight() && !settings_.may_hedge) return BlockReason::attempt_in_flight;
    if (!earlier.may_have_run()) return std::nullopt;
    const RequestClass& request_class =
        settings_.classes.at(static_cast<std::size_t>(request.request_class));
    const Micros earlier_sent_at =
        earlier.sent_at > Micros{0} ? earlier.sent_at : earlier.chosen_at;
    return check_repeat_at(request_class, earlier_sent_at, {earlier.zone, earlier.cell},
                           {next.zone, next.cell}, now);
}

}  // namespace silverreach::rules
