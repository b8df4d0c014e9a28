// State of one endpoint as this instance sees it. Each class of this folder writes its own fields.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "decisions/decaying_counter.h"
#include "silverreach/interface.h"

namespace silverreach {

inline constexpr double initial_concurrency_limit = 6;  // attempts of all instances
inline constexpr double response_decay_s = 10;          // time constant of Endpoint::responses
// Number of recent responses at which an endpoint's own statistics weigh as much as those over all
// endpoints.
inline constexpr double prior_responses = 10;

// A request class whose attempts an endpoint leaves unanswered.
struct UnansweredClass {
    int consecutive_overdue = 0;  // overdue attempts since the last success
    Micros avoided_until{0};
};

struct Endpoint {
    EndpointEntry entry;
    std::uint32_t preference_key = 0;  // sorts the endpoints by this instance's preference

    int attempts_in_flight = 0;  // of this instance
    double concurrency_limit = initial_concurrency_limit;

    DecayingCounter responses;   // ended attempts of any outcome
    double mean_response_s = 0;  // of successes; 0: none yet
    // Last success or error, or the last attempt that was sent while none was in flight.
    Micros last_response_at{0};

    // Slow start
    Micros slow_start_began_at{0};  // on this instance's clock; 0: long ago
    Micros last_decision_at{0};     // when an attempt during slow start was last decided on

    // Outlier detection
    int consecutive_failures = 0;   // since the last success
    int consecutive_ejections = 0;  // since the last success
    Micros ejected_until{0};
    std::map<int, Micros> rejected_kinds_until;         // by kind of request; avoided until then
    std::map<int, UnansweredClass> unanswered_classes;  // by request class

    // Load reports
    Micros reported_at{0};
    double reported_in_flight = -1;          // negative: not reported
    bool is_reported_idle = false;           // no queued requests in the last report
    bool last_report_has_in_flight = false;  // the last report had the requests in flight

    std::vector<RequestId> health_check_waiters;  // requests that wait for the check in flight

    double recent_responses(Micros now) const { return responses.value(now, response_decay_s); }
};

}  // namespace silverreach
