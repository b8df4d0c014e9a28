// A fleet scenario, read from YAML: instances, accounts, request rates, and faults of messages and
// instances. The same scenario runs on sockets and in virtual time. Every error is reported with
// its line. No I/O.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "openapi/document.h"

namespace silverreach::scenario {

using Micros = std::chrono::microseconds;

// Distribution of an account's requests over the instances.
enum class LoadShape {
    even,     // uniform
    halving,  // half to the first, a quarter to the next, ...
    moving    // all to a third of the instances, another third every `move_interval`
};
std::string_view to_string(LoadShape shape);

enum class FaultKind {
    kill,        // an instance is killed and restarts after `duration`
    stall,       // an instance is stopped for `duration`
    partition,   // messages pass only among even ranks and among odd ranks
    lose,        // a share of the messages is lost
    restart_all  // the instances restart one after another, each down for `duration`
};
struct FleetFault {
    FaultKind kind = FaultKind::kill;
    Micros at{0}, duration{0};
    int instance = -1;  // rank; negative: the owner of the first account's quota
    double loss = 0;
};

struct FleetScenario {
    std::string name;
    std::uint64_t seed = 1;
    int instances = 1, hosts = 2, accounts = 1;
    Micros service_time{1000};              // mean time of a host's response, without a queue
    double quota = 100;                     // units per second of each account
    double burst = 0;                       // 0: one second of the quota
    double ceiling = 0, ceiling_burst = 0;  // 0: none
    double offered_rate = 100;              // requests per second of each account, one unit each
    double first_account_share = 0;         // above 0: the first account's share of all requests
    LoadShape shape = LoadShape::even;
    Micros move_interval{2'000'000};
    Micros duration{10'000'000};
    Micros deadline{2'000'000}, latency_objective{800'000};
    double peer_messages_per_second = 0;  // 0: the product's default
    double loss = 0;
    Micros min_delay{100}, max_delay{200};
    std::vector<FleetFault> faults;
    // Bounds on the measured figures; 0: not checked.
    // Served share of what quota and demand allow, over any 5 s after the first 3 s.
    double min_served_share = 0;
    double max_quota_excess = 0;      // units beyond the quota's token bucket
    double max_wait_p99_ms = 0;       // admission wait, after an account's first second
    double max_rejection_p99_ms = 0;  // time until a request is rejected
};

double effective_burst(const FleetScenario& scenario);
// Returns true for a mapping with the member `fleet`.
bool is_fleet_scenario(std::string_view text, const std::string& file);
// Appends one scenario per list item of `days`, or a single one without that list. Appends every
// problem to `problems` and returns false if there was one.
bool parse_fleet_scenarios(std::string_view text, const std::string& file,
                           std::vector<FleetScenario>& into,
                           std::vector<openapi::Problem>& problems);

}  // namespace silverreach::scenario
