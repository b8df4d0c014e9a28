// Tokens of the core's own timers. Their top bit is set, unlike that of the decision engine's
// tokens.
#pragma once

#include <cstdint>

#include "core/attempt_key.h"
#include "core/environment.h"

namespace silverreach::core {

// Attempt number in the token of the timer for a request's deadline.
inline constexpr int request_deadline_attempt = 255;

inline constexpr std::uint64_t core_timer_bit = 1ULL << 63;
inline constexpr int attempt_bits = 8;

constexpr bool is_core_timer(Timer timer) {
    return (timer.token & core_timer_bit) != 0;
}
constexpr Timer encode_timer(const AttemptKey& key) {
    return {core_timer_bit | key.request << attempt_bits | static_cast<std::uint64_t>(key.attempt)};
}
constexpr AttemptKey decode_timer(Timer timer) {
    constexpr std::uint64_t attempt_mask = (1ULL << attempt_bits) - 1;
    return {(timer.token & ~core_timer_bit) >> attempt_bits,
            static_cast<int>(timer.token & attempt_mask)};
}

}  // namespace silverreach::core
