// Why connections of clients end.
#pragma once

#include <cstddef>
#include <string_view>

#include "event/loop.h"

namespace silverreach::frontend::resp {

using event::Micros;

enum class CloseReason {
    client_ended,    // by its client, or broken
    no_command,      // no complete command in time
    idle,            // no command for too long
    evicted,         // its place was needed
    protocol_error,  // a broken or unfinished command
    draining,        // this instance ends
    answers_unread,  // the client does not read its responses
    linger_over,     // ended here, and its client did not end in time
    linger_flood,    // nor stopped sending
    linger_crowded   // too many such
};
constexpr std::size_t close_reason_count = 10;
// As the log names it.
std::string_view to_string(CloseReason reason);

// A connection that this instance ends, or has seen end. Reported once when lingering begins, and
// once more where the connection is then closed for another reason.
struct ConnectionClose {
    CloseReason reason = CloseReason::client_ended;
    std::size_t requests_in_flight = 0;
    Micros open_for{0};
};

}  // namespace silverreach::frontend::resp
