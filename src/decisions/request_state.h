// State of one request between its arrival and its final response.
//
// States: waiting for a lease or for pacing, queued, checking the health of its candidates, in
// flight. A hedged request may be queued or wait for health checks while an attempt is in flight.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>

#include "decisions/load_balancing/candidate_list.h"
#include "decisions/quota/customer_quota.h"
#include "silverreach/interface.h"

namespace silverreach {

// The first attempt of a request that its endpoint may have executed.
struct PossibleRun {
    Micros sent_at{0};
    std::string zone;  // of the endpoint
    std::int64_t cell = 0;
};

struct RequestState {
    RequestArrived arrival;  // its units are at least 0
    CustomerQuota* customer = nullptr;
    int kind = 0;            // see request_kind()
    Micros deadline{0};      // clock time until which the client waits
    Micros latest_start{0};  // a later attempt is expected to miss the latency objective

    Reservation reservation;
    bool is_within_quota = true;  // false: admitted as excess

    bool was_sent = false;            // at least one attempt was sent
    bool is_queued = false;           // waits in the admission queue
    bool is_checking_health = false;  // waits for health checks of `candidates`
    int attempts = 0;
    int attempts_in_flight = 0;
    Micros last_sent_at{0};
    std::string last_endpoint;

    bool may_have_run = false;
    PossibleRun first_possible_run;  // valid if may_have_run

    CandidateList candidates;
    int health_check_rounds = 0;
    int pending_health_checks = 0;

    void on_attempt_sent(const std::string& endpoint, Micros now) {
        was_sent = true;
        is_queued = false;
        is_checking_health = false;
        health_check_rounds = 0;
        ++attempts;
        ++attempts_in_flight;
        last_sent_at = now;
        last_endpoint = endpoint;
    }
};

// Number of the kind of a request, which is its request class and plan. An endpoint may reject one
// kind and serve the others. `plan_count`: size of Settings::plans.
inline int request_kind(const RequestArrived& arrival, std::size_t plan_count) {
    return arrival.request_class * static_cast<int>(plan_count + 1) + arrival.plan + 1;
}

using RequestTable = std::unordered_map<RequestId, RequestState>;

}  // namespace silverreach
