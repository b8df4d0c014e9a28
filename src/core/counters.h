// Counters of one coordinator since its start.
#pragma once

#include <cstdint>

#include "decisions/retry/attempt_rules.h"

namespace silverreach::core {

struct Counters {
    std::uint64_t received = 0;
    std::uint64_t served = 0;  // requests with a successful response of an endpoint
    std::uint64_t rejected = 0;
    std::uint64_t failed = 0;
    std::uint64_t disconnected = 0;  // requests whose client disconnected before their completion
    std::uint64_t aborted = 0;       // streamed responses that ended incomplete or at the deadline
    std::uint64_t attempts = 0;
    rules::BlockCounters blocked_choices;  // attempts blocked when the engine chose them
    rules::BlockCounters blocked_sends;    // attempts blocked before their bytes were sent
    // The last two count violations of an invariant; 0 in a correct program.
    // Responses of the gateway itself, more than late_response_tolerance after the deadline.
    std::uint64_t late_responses = 0;
    // Attempts with a successful response that begin_send() had not allowed.
    std::uint64_t unchecked_attempts = 0;
};

}  // namespace silverreach::core
