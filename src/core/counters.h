// Totals of one coordinator since its start.
#pragma once

#include <cstdint>

#include "decisions/retry/attempt_rules.h"

namespace silverreach::core {

struct Counters {
    std::uint64_t received = 0;
    std::uint64_t served = 0;  // got an endpoint's response
    std::uint64_t rejected = 0;
    std::uint64_t failed = 0;
    std::uint64_t disconnected = 0;  // clients that left before the end
    std::uint64_t aborted = 0;       // responses that broke or were aborted while streaming
    std::uint64_t attempts = 0;
    rules::BlockCounters blocked_choices;  // attempts that the rules stopped when they were chosen
    rules::BlockCounters blocked_sends;    // and before their bytes were sent
    // Violations; 0 in a correct program.
    std::uint64_t late_responses = 0;      // own responses after the client's deadline
    std::uint64_t unchecked_attempts = 0;  // answered by an endpoint without a check before sending
};

}  // namespace silverreach::core
