// The Retry-After that a rejected client gets.
#pragma once

#include <algorithm>

#include "silverreach/interface.h"

namespace silverreach {

// No longer than clients heed, where settings say how long that is; 0: none is sent.
inline Micros retry_after_advice(const Settings& settings, Micros wait) {
    if (!settings.may_send_retry_after) return Micros{0};
    const Micros non_negative = std::max(wait, Micros{0});
    const bool has_limit = settings.max_retry_after > Micros{0};
    return has_limit ? std::min(non_negative, settings.max_retry_after) : non_negative;
}

}  // namespace silverreach
