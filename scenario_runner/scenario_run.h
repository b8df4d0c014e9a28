// Plays a scenario: real gateways as processes, hosts, roster, clients and relay as stand-ins in
// this one, all on loopback; then judges the day from the stand-ins' records.
#pragma once

#include <functional>
#include <string>

#include "scenario_runner/invariant_checker.h"
#include "scenario_runner/scenario.h"

namespace CLI {
class App;
}

namespace silverreach::scenario {

struct DayResult {
    Verdict verdict;
    std::vector<nlohmann::json> records;
    std::vector<std::string>
        troubles;  // a gateway that did not start or died by itself; the day proves nothing
};

// `program`: the gateway's executable. `folder`: where the scenario's files are. `work`: a folder
// for configurations, logs and records. Throws std::runtime_error with a plain message.
DayResult play(const Scenario& scenario, const std::string& program, const std::string& folder,
               const std::string& work, const std::function<void(const std::string&)>& progress);

// `drill`, `judge` and `standin` commands. Sets `code` when one has run.
void add_commands(CLI::App& app, int& code);

}  // namespace silverreach::scenario
