#include "frontend/resp/connection_close.h"

#include <array>

namespace silverreach::frontend::resp {

std::string_view to_string(CloseReason reason) {
    constexpr std::array<std::string_view, close_reason_count> names{
        "client_ended", "no_command",     "idle",        "evicted",      "protocol_error",
        "draining",     "answers_unread", "linger_over", "linger_flood", "linger_crowded"};
    return names[static_cast<std::size_t>(reason)];
}

}  // namespace silverreach::frontend::resp
