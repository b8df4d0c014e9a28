// Tokens of the timers that the decision engine starts: what a timer is for, and what it is about.
#pragma once

#include <cstdint>

namespace silverreach {

// The order is part of the token; new kinds go to the end.
enum class TimerKind : std::uint64_t {
    request_deadline,  // subject: request id; the client's deadline is due
    pacing_delay,      // subject: request id; the warming-up limiter lets it go
    attempt_check,     // subject: request id; a response to its last attempt is overdue
    queue_timeout,     // subject: request id; a queued request is looked at again
    lease_request,     // subject: nonce of the lease request that is unanswered
    health_check,      // subject: request id; its endpoints' health checks took long enough
    peer_outbox,       // subject: rank of the peer; held back messages may go out
    heartbeat,         // subject: 0; the periodic tick
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
