// When endpoints drop a repeat of a request that carries an idempotency key.
#pragma once

#include <algorithm>
#include <cstdint>
#include <string_view>

#include "silverreach/interface.h"

namespace silverreach {

// A process may be held up for so long between reading its clock and writing.
inline constexpr Micros max_process_pause{150'000};

// Where an endpoint stands, as far as deduplication scopes depend on it.
struct EndpointLocation {
    std::string_view zone;
    std::int64_t cell = 0;
};

// Whether endpoints still remember a request whose first attempt that may have run was sent at
// `first_sent_at`.
inline bool deduplication_window_open(const RequestClass& request_class, Micros first_sent_at,
                                      Micros now) {
    const Micros guard = std::min(max_process_pause, request_class.deduplication_window / 2);
    return now - first_sent_at < request_class.deduplication_window - guard;
}

// Whether two endpoints drop each other's repeats.
inline bool in_same_deduplication_scope(DeduplicationScope scope, const EndpointLocation& left,
                                        const EndpointLocation& right) {
    if (scope == DeduplicationScope::zone) return left.zone == right.zone;
    return scope == DeduplicationScope::all || left.cell == right.cell;
}

}  // namespace silverreach
