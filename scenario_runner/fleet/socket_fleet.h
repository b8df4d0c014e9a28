// Runs a fleet scenario on loopback: the gateways are processes; clients, hosts and the relay for
// peer messages are fakes in this process.
#pragma once

#include <string>

#include "scenario_runner/fleet/virtual_fleet.h"

namespace silverreach::scenario {

// `program`: the gateway's executable. `work`: an existing folder for configurations and logs.
// Throws std::runtime_error if the scenario has too many instances, a file cannot be written or a
// gateway process cannot be started.
FleetResult run_fleet_on_sockets(const FleetScenario& scenario, const std::string& program,
                                 const std::string& work);

}  // namespace silverreach::scenario
