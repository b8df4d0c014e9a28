// Whether endpoints recognize the repeat of a request with an idempotency key.
#pragma once

#include <algorithm>
#include <cstdint>
#include <string_view>

#include "silverreach/interface.h"

namespace silverreach {

// Longest process pause, between reading the clock and sending a request, that the rules tolerate.
inline constexpr Micros max_process_pause{150'000};

// Location of an endpoint; determines its deduplication scopes.
struct EndpointLocation {
    std::string_view zone;
    std::int64_t cell = 0;
};

// Whether endpoints still remember the idempotency key of a request. `first_sent_at`: clock time of
// its first attempt that may have run.
inline bool deduplication_window_open(const RequestClass& request_class, Micros first_sent_at,
                                      Micros now) {
    const Micros pause_margin = std::min(max_process_pause, request_class.deduplication_window / 2);
    return now - first_sent_at < request_class.deduplication_window - pause_margin;
}

// Whether two endpoints recognize repeats of each other's requests.
inline bool in_same_deduplication_scope(DeduplicationScope scope, const EndpointLocation& left,
                                        const EndpointLocation& right) {
    if (scope == DeduplicationScope::zone) return left.zone == right.zone;
    return scope == DeduplicationScope::all || left.cell == right.cell;
}

}  // namespace silverreach
