// A bad day written down: who runs, who calls, and what goes wrong when. YAML; every error with its
// line. No I/O.
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

enum class Deed {
    kill_gateway,
    start_gateway,
    drain_host,
    kill_host,
    start_host,
    stall_host,
    refuse_plan,
    cut_answers,
    lose_zone,
    return_zone,
    messages,
    cut_gateway,
    describe
};
struct Happening {
    Micros at{0}, span{0};  // span 0: for good
    Deed deed = Deed::kill_gateway;
    int which = 0;     // gateway's rank or host's number
    std::string text;  // plan, zone or file
    double loss = 0;
    int line = 0;
};

struct Scenario {
    std::string name, config, description;  // files beside the scenario
    std::uint64_t seed = 1;
    Micros length{0}, settle{0};  // clients call for `length`, after `settle`
    int gateways = 1;
    std::vector<HostGroup> hosts;
    std::vector<fakes::Flow> flows;
    std::vector<Happening> happenings;  // in order of time
    double loss = 0;
    Micros least_delay{0}, most_delay{0}, roster_lag{0};
    Micros slack{30'000};   // for the clocks of a busy machine, where a rule names a moment
    Micros drain_grace{0};  // rule 3
    double ceiling_slack = 0.1;
    Micros repeat_window{0};  // hosts remember a keyed effect
    int hosts_in_all() const;
};

bool parse_scenario(std::string_view text, const std::string& file, Scenario& into,
                    std::vector<openapi::Problem>& problems);

}  // namespace silverreach::scenario
