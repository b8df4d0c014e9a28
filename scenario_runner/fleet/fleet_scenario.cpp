#include "scenario_runner/fleet/fleet_scenario.h"

#include <algorithm>
#include <map>

#include "scenario_runner/mapping_reader.h"

namespace silverreach::scenario {
namespace {
using openapi::Value;
using namespace std::chrono_literals;

void read_fault(const Value& item, const std::string& field, const std::string& file,
                std::vector<openapi::Problem>& problems, FleetScenario& scenario) {
    static const std::map<std::string, FaultKind> kinds = {{"kill", FaultKind::kill},
                                                           {"stall", FaultKind::stall},
                                                           {"partition", FaultKind::partition},
                                                           {"lose", FaultKind::lose},
                                                           {"restart-all", FaultKind::restart_all}};
    MappingReader reader(item, field, file, problems);
    FleetFault fault;
    std::string kind, instance;
    for (const char* name : {"do", "at", "for"})
        reader.require(name);
    reader.read("do", kind);
    reader.read_seconds("at", fault.at);
    reader.read_seconds("for", fault.duration);
    reader.read("loss", fault.loss);
    reader.read("instance", instance);
    if (!instance.empty() && instance != "home") {
        double rank = -1;
        const Value* value = reader.find("instance");
        if (!value->as(rank) || rank < 0 || rank != static_cast<int>(rank))
            reader.add_problem(*value, "instance", "home or a rank");
        fault.instance = static_cast<int>(rank);
    }
    if (const auto it = kinds.find(kind); it != kinds.end())
        fault.kind = it->second;
    else
        reader.add_problem(item, "do", "kill, stall, partition, lose or restart-all");
    if (fault.loss > 1) reader.add_problem(item, "loss", "a share from 0 to 1");
    scenario.faults.push_back(fault);
}

void read_scenario(const Value& value, const std::string& field, const std::string& file,
                   std::vector<openapi::Problem>& problems, FleetScenario& scenario, bool is_root) {
    static const std::map<std::string, LoadShape> shapes = {
        {"even", LoadShape::even}, {"halving", LoadShape::halving}, {"moving", LoadShape::moving}};
    MappingReader reader(value, field, file, problems);
    reader.read(is_root ? "fleet" : "name", scenario.name);
    if (is_root) reader.find("days");
    reader.read_integer("seed", scenario.seed);
    reader.read_integer("instances", scenario.instances, 1);
    reader.read_integer("hosts", scenario.hosts, 1);
    reader.read_integer("accounts", scenario.accounts, 1);
    reader.read_milliseconds("host_ms", scenario.service_time);
    reader.read("quota", scenario.quota);
    reader.read("burst", scenario.burst);
    reader.read("ceiling", scenario.ceiling);
    reader.read("ceiling_burst", scenario.ceiling_burst);
    reader.read("offered", scenario.offered_rate, 0.001);
    reader.read("first_share", scenario.first_account_share);
    reader.read_seconds("move_every", scenario.move_interval);
    reader.read_seconds("seconds", scenario.duration);
    reader.read_milliseconds("deadline_ms", scenario.deadline);
    reader.read_milliseconds("aim_ms", scenario.latency_objective);
    reader.read("messages_per_s", scenario.peer_messages_per_second);
    reader.read("loss", scenario.loss);
    reader.read_milliseconds("least_delay_ms", scenario.min_delay);
    reader.read_milliseconds("most_delay_ms", scenario.max_delay);
    reader.read("least_served", scenario.min_served_share);
    reader.read("most_over", scenario.max_quota_excess);
    reader.read("most_wait_ms", scenario.max_wait_p99_ms);
    reader.read("most_refusal_ms", scenario.max_rejection_p99_ms);
    std::string shape(to_string(scenario.shape));
    reader.read("shape", shape);
    if (const auto it = shapes.find(shape); it != shapes.end())
        scenario.shape = it->second;
    else
        reader.add_problem(value, "shape", "even, halving or moving");
    if (scenario.instances > 500) reader.add_problem(value, "instances", "at most 500");
    if (scenario.loss > 1 || scenario.first_account_share > 1)
        reader.add_problem(value, "loss", "shares from 0 to 1");
    if (scenario.max_delay < scenario.min_delay)
        reader.add_problem(value, "most_delay_ms", "at least least_delay_ms");
    if (scenario.duration <= 0us || scenario.deadline <= 0us || scenario.latency_objective <= 0us ||
        scenario.move_interval <= 0us)
        reader.add_problem(value, "", "seconds, deadline_ms, aim_ms and move_every above 0");
    if (value.find("troubles")) scenario.faults.clear();
    int number = 0;
    for (const Value& item : reader.list("troubles"))
        read_fault(item, field + ".troubles[" + std::to_string(number++) + "]", file, problems,
                   scenario);
    // Checked for each scenario, as it may inherit the faults and set its own number of instances.
    for (const FleetFault& fault : scenario.faults) {
        if (fault.instance >= scenario.instances)
            reader.add_problem(value, "troubles", "ranks below the number of instances");
        if (scenario.instances < 2 &&
            (fault.kind == FaultKind::partition || fault.kind == FaultKind::lose))
            reader.add_problem(value, "troubles", "at least two instances for partition and lose");
    }
    if (scenario.ceiling > 0 && scenario.ceiling_burst <= 0)
        scenario.ceiling_burst = scenario.ceiling;
}
}  // namespace

std::string_view to_string(LoadShape shape) {
    return shape == LoadShape::even ? "even" : shape == LoadShape::halving ? "halving" : "moving";
}
double effective_burst(const FleetScenario& scenario) {
    return scenario.burst > 0 ? scenario.burst : scenario.quota;
}

bool is_fleet_scenario(std::string_view text, const std::string& file) {
    std::vector<openapi::Problem> ignored;
    Value root;
    return openapi::parse(text, file, root, ignored) && root.find("fleet");
}

bool parse_fleet_scenarios(std::string_view text, const std::string& file,
                           std::vector<FleetScenario>& into,
                           std::vector<openapi::Problem>& problems) {
    const std::size_t problems_before = problems.size();
    Value root;
    if (!openapi::parse(text, file, root, problems)) return false;
    FleetScenario defaults;
    read_scenario(root, "fleet", file, problems, defaults, true);
    const Value* scenarios = root.find("days");
    if (!scenarios)
        into.push_back(defaults);
    else if (!scenarios->is(Value::Kind::sequence) || scenarios->items.empty())
        problems.push_back({file, scenarios->line, "fleet.days", "a list of days"});
    else
        for (std::size_t i = 0; i < scenarios->items.size(); ++i) {
            FleetScenario scenario = defaults;
            read_scenario(scenarios->items[i], "days[" + std::to_string(i) + "]", file, problems,
                          scenario, false);
            into.push_back(scenario);
        }
    return problems.size() == problems_before;
}

}  // namespace silverreach::scenario
