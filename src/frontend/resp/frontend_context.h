// The state that the connections of one RESP front end share.
#pragma once

#include <array>
#include <cstdint>
#include <functional>

#include "core/request_coordinator.h"
#include "event/buffer_budget.h"
#include "frontend/resp/connection_close.h"
#include "frontend/resp/request_table.h"
#include "platform/request.h"

namespace silverreach::frontend::resp {

struct FrontendCounters {
    std::uint64_t invalid_commands = 0;
    std::uint64_t protocol_errors = 0;  // malformed or unfinished commands
    // Connections ended with an error because all connections together exceeded the buffer budget.
    std::uint64_t buffer_limit_reached = 0;
    std::uint64_t silent = 0;  // connections closed without a complete command, or evicted
    // Rule violations: connections that this instance closed with requests in flight.
    std::uint64_t closed_with_requests = 0;
    std::array<std::uint64_t, close_reason_count> closes{};  // by CloseReason
};

// Owned by the Frontend; outlives the connections.
struct FrontendContext {
    const platform::CommandValidator& validator;
    core::RequestCoordinator& core;
    std::function<Micros()> clock;      // the core's time
    event::BufferBudget buffer_budget;  // of input that is not handled yet
    // Of commands that wait for their responses, and responses that clients have not read.
    event::BufferBudget in_hand_budget;
    RequestTable requests = {};
    FrontendCounters counters = {};
    std::function<void(const ConnectionClose&)> on_close = {};  // may be empty

    // Counts the close, checks it against the rules and reports it to on_close.
    void report_close(const ConnectionClose& close);
};

}  // namespace silverreach::frontend::resp
