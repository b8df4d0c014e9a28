// A fleet's day on loopback: gateways as processes, clients, hosts and a relay of messages as
// stand-ins here.
#pragma once

#include <string>

#include "scenario_runner/fleet/virtual_fleet.h"

namespace silverreach::scenario {

// `program`: the gateway's executable. `work`: a folder for configurations and logs. Throws
// std::runtime_error with a plain message.
FleetResult play_sockets(const FleetDay& day, const std::string& program, const std::string& work);

}  // namespace silverreach::scenario
