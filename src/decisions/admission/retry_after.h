// The Retry-After of a rejected request.
#pragma once

#include <algorithm>

#include "silverreach/interface.h"

namespace silverreach {

// The wait, limited to Settings::max_retry_after if that is set; 0: no Retry-After is sent.
inline Micros limited_retry_after(const Settings& settings, Micros wait) {
    if (!settings.may_send_retry_after) return Micros{0};
    const Micros non_negative = std::max(wait, Micros{0});
    const bool has_limit = settings.max_retry_after > Micros{0};
    return has_limit ? std::min(non_negative, settings.max_retry_after) : non_negative;
}

}  // namespace silverreach
