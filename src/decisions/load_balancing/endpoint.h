// State of one endpoint as this instance sees it. The classes of this folder each keep to their own
// fields.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "decisions/decaying_counter.h"
#include "silverreach/interface.h"

namespace silverreach {

inline constexpr double initial_concurrency_limit = 6;  // attempts, by all instances
inline constexpr double response_memory_s = 10;         // of Endpoint::responses
// An endpoint's own statistics outweigh those of the fleet from this many recent responses on.
inline constexpr double fleet_prior_responses = 10;

// A request class of which the endpoint left attempts unanswered.
struct UnansweredClass {
    int overdue_in_row = 0;  // attempts, since the last success
    Micros avoided_until{0};
};

struct Endpoint {
    EndpointEntry entry;
    std::uint32_t order_key = 0;  // position in this instance's own order

    int attempts_in_flight = 0;  // of this instance
    double concurrency_limit = initial_concurrency_limit;

    DecayingCounter responses;   // ended attempts, of any outcome
    double mean_response_s = 0;  // of successes; 0: none seen
    Micros last_response{0};     // success or error, or the first attempt after an idle time

    // Slow start
    Micros slow_start_began{0};  // on this instance's clock; 0: long past
    Micros last_considered{0};   // for an attempt during slow start

    // Outlier detection
    int failures = 0;   // in a row
    int ejections = 0;  // since the last success
    Micros ejected_until{0};
    std::map<int, Micros> rejected_kinds_until;         // by kind of request; avoided until then
    std::map<int, UnansweredClass> unanswered_classes;  // by request class

    // Load reports
    Micros reported_at{0};
    double reported_in_flight = -1;  // below 0: not reported
    bool reported_idle = false;      // no queued requests
    bool reports_in_flight = false;  // its latest report had the requests in flight

    std::vector<RequestId> health_check_waiters;  // requests that wait for the running check

    double recent_responses(Micros now) const { return responses.value(now, response_memory_s); }
};

}  // namespace silverreach
