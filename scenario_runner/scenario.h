// A scenario, read from YAML: gateways, hosts, client traffic and the faults injected at stated
// times. Every error is reported with its line. No I/O.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "fakes/client.h"
#include "fakes/host.h"
#include "openapi/document.h"

namespace silverreach::scenario {

using Micros = std::chrono::microseconds;

struct HostGroup {
    int count = 1;
    fakes::HostSettings settings;
};

enum class ScenarioAction {
    kill_gateway,
    start_gateway,
    drain_host,
    kill_host,
    start_host,
    stall_host,
    reject_plan,
    truncate_responses,
    lose_zone,
    return_zone,
    set_message_loss,
    isolate_gateway,
    replace_description
};
struct ScenarioEvent {
    Micros at{0}, duration{0};  // since the clients started; duration 0: permanent
    ScenarioAction action = ScenarioAction::kill_gateway;
    int index = 0;         // rank of the gateway or number of the host
    std::string argument;  // plan, zone or file
    double loss = 0;
    int line = 0;
};

struct Scenario {
    std::string name, config, description;  // the last two: files beside the scenario
    std::uint64_t seed = 1;
    Micros duration{0}, settle_time{0};  // clients send for `duration`, after `settle_time`
    int gateways = 1;
    std::vector<HostGroup> hosts;
    std::vector<fakes::Flow> flows;
    std::vector<ScenarioEvent> events;  // ordered by time
    double loss = 0;
    Micros min_delay{0}, max_delay{0}, discovery_delay{0};
    Micros time_tolerance{30'000};  // for every time limit, as a loaded machine delays events
    Micros drain_grace{0};          // of Invariant::drains_respected
    double ceiling_tolerance = 0.1;
    Micros deduplication_window{0};  // how long hosts remember an idempotency key
    int total_hosts() const;
};

// Appends every problem to `problems`. Returns false if there was one.
bool parse_scenario(std::string_view text, const std::string& file, Scenario& into,
                    std::vector<openapi::Problem>& problems);

}  // namespace silverreach::scenario
