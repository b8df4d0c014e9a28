#include "decisions/retry/attempt_rules.h"

#include <numeric>

#include "decisions/retry/repeat_rules.h"

namespace silverreach::rules {

std::string_view to_string(BlockReason reason) {
    constexpr std::array<std::string_view, block_reason_count> names{"answered",
                                                                     "client_disconnected",
                                                                     "deadline_exceeded",
                                                                     "endpoint_unavailable",
                                                                     "max_attempts_reached",
                                                                     "attempt_in_flight",
                                                                     "may_have_run",
                                                                     "deduplication_window_closed",
                                                                     "outside_deduplication_scope",
                                                                     "requests_pending"};
    return names[static_cast<std::size_t>(reason)];
}

std::uint64_t BlockCounters::total() const {
    return std::accumulate(counts_.begin(), counts_.end(), std::uint64_t{0});
}

void AttemptRules::on_endpoints_changed(const EndpointsChanged& change) {
    if (change.complete) endpoints_.clear();
    for (const EndpointEntry& entry : change.endpoints) {
        if (entry.status == EndpointStatus::removed)
            endpoints_.erase(entry.id);
        else
            endpoints_[entry.id] = {entry.status, entry.zone, entry.cell};
    }
}

AttemptRecord AttemptRules::make_attempt(const std::string& endpoint, Micros now) const {
    AttemptRecord attempt;
    attempt.endpoint = endpoint;
    attempt.chosen_at = now;
    if (const auto it = endpoints_.find(endpoint); it != endpoints_.end()) {
        attempt.zone = it->second.zone;
        attempt.cell = it->second.cell;
    }
    return attempt;
}

CheckResult AttemptRules::check_start(Micros now, const RequestRecord& request,
                                      const std::string& endpoint) const {
    if (const CheckResult blocked = check_request_open(now, request)) return blocked;
    if (const CheckResult blocked = check_endpoint(endpoint)) return blocked;
    if (request.attempts.size() >= static_cast<std::size_t>(settings_.max_attempts))
        return BlockReason::max_attempts_reached;
    const AttemptRecord next = make_attempt(endpoint, now);
    for (const AttemptRecord& earlier : request.attempts)
        if (const CheckResult blocked = check_earlier_attempt(now, request, earlier, next))
            return blocked;
    return std::nullopt;
}

CheckResult AttemptRules::check_send(Micros now, const RequestRecord& request,
                                     std::size_t attempt) const {
    if (const CheckResult blocked = check_request_open(now, request)) return blocked;
    const AttemptRecord& next = request.attempts.at(attempt);
    if (const CheckResult blocked = check_endpoint(next.endpoint)) return blocked;
    for (std::size_t i = 0; i < request.attempts.size(); ++i) {
        if (i == attempt) continue;
        if (const CheckResult blocked =
                check_earlier_attempt(now, request, request.attempts[i], next))
            return blocked;
    }
    return std::nullopt;
}

CheckResult AttemptRules::check_close(const ConnectionRecord& connection) {
    if (connection.client_disconnected || connection.pending_requests == 0) return std::nullopt;
    return BlockReason::requests_pending;
}

CheckResult AttemptRules::check_request_open(Micros now, const RequestRecord& request) {
    if (request.answered) return BlockReason::answered;
    if (request.client_disconnected) return BlockReason::client_disconnected;
    if (now >= request.deadline) return BlockReason::deadline_exceeded;
    return std::nullopt;
}

CheckResult AttemptRules::check_endpoint(const std::string& endpoint) const {
    const auto it = endpoints_.find(endpoint);
    if (it == endpoints_.end() || it->second.status != EndpointStatus::available)
        return BlockReason::endpoint_unavailable;
    return std::nullopt;
}

// Checks whether `next` may follow an earlier attempt, or be in flight at the same time.
CheckResult AttemptRules::check_earlier_attempt(Micros now, const RequestRecord& request,
                                                const AttemptRecord& earlier,
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
