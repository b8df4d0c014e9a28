// Why an attempt may not start or be sent now, or a connection not be closed.
#pragma once

#include <cstddef>
#include <string_view>

namespace silverreach::rules {

enum class BlockReason {
    answered,                     // the request has its final response
    client_disconnected,          // nobody waits for the response
    deadline_exceeded,            // the client's time is over
    endpoint_unavailable,         // the endpoint drains, was removed, or was never listed
    max_attempts_reached,         // as many attempts as the settings allow were made
    attempt_in_flight,            // another attempt is in flight, and settings forbid hedging
    may_have_run,                 // a non-idempotent request whose earlier attempt may have run
    deduplication_window_closed,  // endpoints may have forgotten the earlier attempt
    outside_deduplication_scope,  // the endpoint does not drop repeats of the earlier attempt
    requests_pending              // the connection has requests without a response
};
inline constexpr std::size_t block_reason_count = 10;

// The reason's name in log lines.
std::string_view to_string(BlockReason reason);

}  // namespace silverreach::rules
