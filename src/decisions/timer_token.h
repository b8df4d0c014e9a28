// Tokens of the timers that the decision engine starts: the kind of the timer and its subject.
#pragma once

#include <cstdint>

namespace silverreach {

// The values are part of the tokens; new kinds are added at the end.
enum class TimerKind : std::uint64_t {
    request_deadline,  // subject: request id; the client's deadline is reached
    pacing_delay,      // subject: request id; the delay by the warming-up limiter ends
    attempt_check,     // subject: request id; checks whether its last attempt is overdue
    queue_timeout,     // subject: request id; a queued request is dispatched again
    lease_request,     // subject: nonce; the lease request is not answered in time
    health_check,      // subject: request id; the wait for its health checks ends
    peer_outbox,       // subject: rank of the peer; delayed messages may be sent
    heartbeat,         // subject: 0; fires every StallDetector::heartbeat_period
};
inline constexpr std::uint64_t timer_kind_count = 8;

constexpr std::uint64_t encode_timer_token(TimerKind kind, std::uint64_t subject) {
    return subject * timer_kind_count + static_cast<std::uint64_t>(kind);
}
constexpr TimerKind timer_kind(std::uint64_t token) {
    return static_cast<TimerKind>(token % timer_kind_count);
}
constexpr std::uint64_t timer_subject(std::uint64_t token) {
    return token / timer_kind_count;
}

}  // namespace silverreach
