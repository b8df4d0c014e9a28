// A fleet under plain load, written down: how many instances, which accounts at what rate, what
// goes wrong with messages and instances. The same day runs on sockets and in virtual time. YAML;
// every error with its line. No I/O.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "openapi/document.h"

namespace silverreach::scenario {

using Micros = std::chrono::microseconds;

// How an account's requests fall on the instances.
enum class Shape {
    even,     // all alike
    halving,  // half to the first, a quarter to the next, ...
    moving    // all to a third of the instances, another third every `move_every`
};
std::string_view to_string(Shape shape);

enum class Trouble {
    kill,        // an instance dies and comes back after `span`
    stall,       // an instance does nothing for `span`
    partition,   // messages pass only among even ranks and among odd ones
    lose,        // a part of the messages
    restart_all  // one after another, each away for `span`
};
struct FleetTrouble {
    Trouble kind = Trouble::kill;
    Micros at{0}, span{0};
    int instance = -1;  // below 0: the home of the first account
    double loss = 0;
};

struct FleetDay {
    std::string name;
    std::uint64_t seed = 1;
    int instances = 1, hosts = 2, accounts = 1;
    Micros host_time{1000};                 // a host's answer, without a queue
    double quota = 100;                     // units a second of each account
    double burst = 0;                       // 0: one second of the quota
    double ceiling = 0, ceiling_burst = 0;  // 0: none
    double offered = 100;                   // requests a second of each account, a unit each
    double first_share = 0;                 // above 0: the first account's share of all requests
    Shape shape = Shape::even;
    Micros move_every{2'000'000};
    Micros length{10'000'000};
    Micros deadline{2'000'000}, aim{800'000};
    double messages_per_s = 0;  // 0: the product's default
    double loss = 0;
    Micros least_delay{100}, most_delay{200};
    std::vector<FleetTrouble> troubles;
    // What is held against the day's figures; 0: not looked at.
    double least_served =
        0;                 // of what the quota and the demand allow, over any 5 s after the first 3
    double most_over = 0;  // units above the quota's bucket
    double most_wait_ms = 0;     // p99 of the wait for leave, after an account's first second
    double most_refusal_ms = 0;  // p99
};

double burst_of(const FleetDay& day);
// A fleet scenario is a mapping with the member `fleet`.
bool is_fleet(std::string_view text, const std::string& file);
bool parse_fleet(std::string_view text, const std::string& file, std::vector<FleetDay>& into,
                 std::vector<openapi::Problem>& problems);

}  // namespace silverreach::scenario
