// Metrics of a fleet run, from the records of clients and hosts alone. No I/O.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "scenario_runner/fleet/fleet_scenario.h"

namespace silverreach::scenario {

enum class RequestOutcome {
    unfinished,
    served,
    quota,
    ceiling,
    rejected,
    failed
};
// One request as its client and its host observed it; times since the run began.
struct FleetRequest {
    Micros sent_at{0}, received_at{-1}, ended_at{0};  // received_at: first at a host; -1: at none
    int account = 0, instance = 0;
    RequestOutcome outcome = RequestOutcome::unfinished;
};
struct FleetTraffic {
    std::uint64_t messages = 0, bytes = 0;
    double cpu_s = 0;  // of all instances; 0: not measured
};

struct FleetMetrics {
    std::uint64_t requests = 0, served = 0, quota = 0, ceiling = 0, rejected = 0, failed = 0,
                  unfinished = 0;
    double served_per_second = 0;  // after the first 3 s
    // Served share of what quota and demand allow, in the worst 5 s after the first 3 s of any
    // account.
    double worst_served_share = 1;
    double quota_excess = 0;    // most units beyond the quota's token bucket, of any account
    double ceiling_excess = 0;  // most units beyond the ceiling's token bucket, of any account
    double p50_ms = 0, p90_ms = 0, p99_ms = 0;  // latency of served requests at the client
    double wait_p50_ms = 0,
           wait_p99_ms = 0;       // admission wait: from the client's send to the host's receipt
    double host_p99_ms = 0;       // from the host's receipt to the client's response
    double rejection_p99_ms = 0;  // 0: fewer than 50 requests were rejected
    double messages_per_second = 0, bytes_per_second = 0, messages_per_request = 0,
           cpu_us_per_request = 0;
};

// Returns the most units by which requests received by hosts exceed a token bucket of `rate` and
// `burst`. `requests`: of one account, in any order.
double max_bucket_excess(const std::vector<FleetRequest>& requests, double rate, double burst);
FleetMetrics measure(const FleetScenario& scenario, const std::vector<FleetRequest>& requests,
                     const FleetTraffic& traffic);
// Returns the violations of the scenario's bounds.
std::vector<std::string> find_broken_bounds(const FleetScenario& scenario,
                                            const FleetMetrics& metrics);

std::string format_heading();
std::string format_row(const FleetScenario& scenario, const FleetMetrics& metrics);

}  // namespace silverreach::scenario
