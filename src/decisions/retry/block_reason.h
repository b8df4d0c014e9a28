// Why an attempt must not start or be sent now, or a connection must not be closed.
#pragma once

#include <cstddef>
#include <string_view>

namespace silverreach::rules {

enum class BlockReason {
    answered,                     // the request has its final response
    client_disconnected,          // the client no longer waits for the response
    deadline_exceeded,            // the client's deadline has passed
    endpoint_unavailable,         // the endpoint is draining, removed or unknown
    max_attempts_reached,         // the request has had all attempts that the settings allow
    attempt_in_flight,            // another attempt is in flight, and hedging is disabled
    may_have_run,                 // an earlier attempt of a non-idempotent request may have run
    deduplication_window_closed,  // endpoints may no longer remember the idempotency key
    outside_deduplication_scope,  // the endpoint does not recognize repeats of the earlier attempt
    requests_pending              // the connection has requests without a response
};
inline constexpr std::size_t block_reason_count = 10;

// The reason's name in log lines.
std::string_view to_string(BlockReason reason);

}  // namespace silverreach::rules
