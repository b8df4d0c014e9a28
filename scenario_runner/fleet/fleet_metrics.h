// What a fleet's day gave, from the records of clients and hosts alone. No I/O.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "scenario_runner/fleet/fleet_scenario.h"

namespace silverreach::scenario {

enum class Ending {
    open,
    served,
    quota,
    ceiling,
    refused,
    failed
};
struct FleetTry {  // one request as its client and its host saw it; times since the day began
    Micros sent{0}, at_host{-1}, ended{0};
    int account = 0, instance = 0;
    Ending ending = Ending::open;
};
struct FleetTraffic {
    std::uint64_t messages = 0, bytes = 0;
    double cpu_s = 0;  // of all instances; 0: not measured
};

struct FleetRow {
    std::uint64_t tries = 0, served = 0, quota = 0, ceiling = 0, refused = 0, failed = 0, open = 0;
    double served_s = 0;  // a second, after the first 3
    double worst_served =
        1;  // served of what quota and demand allow, worst 5 s after the first 3, any account
    double over = 0;          // most units above the quota's bucket, worst account; 0: none
    double ceiling_over = 0;  // the same of the ceiling
    double p50_ms = 0, p90_ms = 0, p99_ms = 0;  // of served requests at the client
    double wait50_ms = 0,
           wait99_ms = 0;     // for leave: from the client's sending to the host's taking
    double host99_ms = 0;     // from there to the client's answer
    double refusal99_ms = 0;  // 0 where fewer than 50 were refused
    double messages_s = 0, bytes_s = 0, messages_a_request = 0, cpu_us_a_request = 0;
};

// Units sent to hosts above a bucket of `rate` and `burst`; `tries` of one account, in any order.
double over_bucket(const std::vector<FleetTry>& tries, double rate, double burst);
FleetRow measure(const FleetDay& day, const std::vector<FleetTry>& tries,
                 const FleetTraffic& traffic);
// What the day's own bounds say is broken; empty: kept.
std::vector<std::string> held_against(const FleetDay& day, const FleetRow& row);

std::string fleet_heading();
std::string text_of(const FleetDay& day, const FleetRow& row);

}  // namespace silverreach::scenario
