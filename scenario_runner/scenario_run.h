// Runs a scenario on loopback: the gateways are processes of their own; hosts, discovery service,
// clients and message relay are fakes in this process. Checks the invariants from the fakes'
// records afterwards.
#pragma once

#include <functional>
#include <string>

#include "scenario_runner/invariant_checker.h"
#include "scenario_runner/scenario.h"

namespace CLI {
class App;
}

namespace silverreach::scenario {

struct ScenarioResult {
    CheckReport report;
    std::vector<nlohmann::json> records;
    // Gateways that did not start or that ended unexpectedly. With an error the report is not
    // valid.
    std::vector<std::string> errors;
};

// `program`: the gateway's executable. `folder`: contains the files that the scenario names.
// `work`: an existing folder for configurations, logs and records. Throws std::runtime_error if a
// file cannot be read or written or a gateway process cannot be started.
ScenarioResult run_scenario(const Scenario& scenario, const std::string& program,
                            const std::string& folder, const std::string& work,
                            const std::function<void(const std::string&)>& progress);

// Adds the commands `drill` and `standin`. A command that has run stores its exit code in `code`.
void add_commands(CLI::App& app, int& code);

}  // namespace silverreach::scenario
