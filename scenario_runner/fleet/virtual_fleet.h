// Runs a fleet scenario in virtual time: every instance has the real request coordinator and
// decision engine; hosts, clients and messages are simulated. The same scenario and seed give the
// same result.
#pragma once

#include <vector>

#include "scenario_runner/fleet/fleet_metrics.h"

namespace silverreach::scenario {

struct FleetResult {
    std::vector<FleetRequest> requests;
    FleetTraffic traffic;
    std::vector<std::string> errors;  // with an error the result is not valid
};
// `default_message_rate`: peer messages per second where the scenario does not set them.
FleetResult simulate_fleet(const FleetScenario& scenario, double default_message_rate);

}  // namespace silverreach::scenario
