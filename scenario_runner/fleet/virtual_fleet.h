// A fleet's day in virtual time: the real core and module at every instance, with hosts, clients
// and messages simulated around them. Same day, same seed: same result.
#pragma once

#include <vector>

#include "scenario_runner/fleet/fleet_metrics.h"

namespace silverreach::scenario {

struct FleetResult {
    std::vector<FleetTry> tries;
    FleetTraffic traffic;
    std::vector<std::string> troubles;  // what makes the day prove nothing
};
// `messages_default`: where the day names none.
FleetResult play_virtual(const FleetDay& day, double messages_default);

}  // namespace silverreach::scenario
