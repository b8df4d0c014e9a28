// When a request that may have run may be sent again. Shared by the decision module, which chooses
// repeats, and by the rules, which check each attempt again when its bytes go out. No I/O, no
// state.
#pragma once

#include <algorithm>

#include "silverreach/interface.h"

namespace silverreach {

// A process may be held up for so long between reading its clock and writing.
constexpr Micros max_process_pause{150'000};

// Whether hosts still remember a keyed request whose first attempt that may have run was sent at
// `first`.
inline bool deduplication_window_open(const RequestClass& request_class, Micros first, Micros now) {
    const Micros guard = std::min(max_process_pause, request_class.deduplication_window / 2);
    return now - first < request_class.deduplication_window - guard;
}

// Whether two hosts drop each other's repeats.
inline bool in_same_deduplication_scope(DeduplicationScope scope, const std::string& zone,
                                        std::int64_t cell, const std::string& other_zone,
                                        std::int64_t other_cell) {
    if (scope == DeduplicationScope::zone) return zone == other_zone;
    return scope == DeduplicationScope::all || cell == other_cell;
}

}  // namespace silverreach
