// The reasons for which client connections end.
#pragma once

#include <cstddef>
#include <string_view>

#include "event/loop.h"

namespace silverreach::frontend::resp {

using event::Micros;

enum class CloseReason {
    client_ended,    // closed by the client, or the connection failed
    no_command,      // no complete command in time
    idle,            // no command for too long
    evicted,         // for a new connection, or to free a descriptor
    protocol_error,  // a malformed or unfinished command
    draining,        // this instance is draining
    answers_unread,  // the client does not read its responses
    linger_over,     // lingered, and the client did not close its side in time
    linger_flood,    // lingered, and the client sent too many bytes
    linger_crowded   // lingered longest while too many connections were lingering
};
constexpr std::size_t close_reason_count = 10;
// Returns the name that the log uses.
std::string_view to_string(CloseReason reason);

// The end of a connection, by this instance or by its client. Reported when lingering begins, and
// again with another reason when the lingering connection is closed.
struct ConnectionClose {
    CloseReason reason = CloseReason::client_ended;
    std::size_t requests_in_flight = 0;
    Micros open_duration{0};
};

}  // namespace silverreach::frontend::resp
