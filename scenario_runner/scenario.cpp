#include "scenario_runner/scenario.h"

#include <algorithm>
#include <map>
#include <set>

#include "scenario_runner/mapping_reader.h"

namespace silverreach::scenario {
namespace {
using openapi::Value;
using Kind = Value::Kind;

const std::map<std::string, ScenarioAction>& actions_by_name() {
    static const std::map<std::string, ScenarioAction> known_actions = {
        {"kill-gateway", ScenarioAction::kill_gateway},
        {"start-gateway", ScenarioAction::start_gateway},
        {"drain-host", ScenarioAction::drain_host},
        {"kill-host", ScenarioAction::kill_host},
        {"start-host", ScenarioAction::start_host},
        {"stall-host", ScenarioAction::stall_host},
        {"refuse-plan", ScenarioAction::reject_plan},
        {"cut-answers", ScenarioAction::truncate_responses},
        {"lose-zone", ScenarioAction::lose_zone},
        {"return-zone", ScenarioAction::return_zone},
        {"messages", ScenarioAction::set_message_loss},
        {"cut-gateway", ScenarioAction::isolate_gateway},
        {"describe", ScenarioAction::replace_description}};
    return known_actions;
}

}  // namespace

int Scenario::total_hosts() const {
    int total = 0;
    for (const HostGroup& host_group : hosts)
        total += host_group.count;
    return total;
}

bool parse_scenario(std::string_view text, const std::string& file, Scenario& into,
                    std::vector<openapi::Problem>& problems) {
    const std::size_t problems_before = problems.size();
    Value root;
    if (!openapi::parse(text, file, root, problems)) return false;
    {
        MappingReader root_reader(root, "scenario", file, problems);
        for (const char* name : {"name", "config", "description", "seconds", "hosts", "flows"})
            root_reader.require(name);
        root_reader.read("name", into.name);
        root_reader.read("config", into.config);
        root_reader.read("description", into.description);
        root_reader.read_integer("seed", into.seed);
        root_reader.read_integer("gateways", into.gateways, 1);
        root_reader.read_seconds("seconds", into.duration);
        root_reader.read_seconds("settle", into.settle_time);
        root_reader.read_milliseconds("slack_ms", into.time_tolerance);
        root_reader.read_milliseconds("drain_grace_ms", into.drain_grace);
        root_reader.read_milliseconds("roster_lag_ms", into.discovery_delay);
        root_reader.read_milliseconds("repeat_window_ms", into.deduplication_window);
        root_reader.read("ceiling_slack", into.ceiling_tolerance);
        root_reader.read("loss", into.loss);
        root_reader.read_milliseconds("least_delay_ms", into.min_delay);
        root_reader.read_milliseconds("most_delay_ms", into.max_delay);
        int group_number = 0;
        for (const Value& item : root_reader.list("hosts")) {
            HostGroup host_group;
            MappingReader reader(item, "hosts[" + std::to_string(group_number) + "]", file,
                                 problems);
            auto& model = host_group.settings.model;
            reader.read_integer("count", host_group.count, 1);
            reader.read_integer("cores", model.cores, 1);
            reader.read("speed", model.speed, 0.001);
            reader.read_integer("room", model.queue_limit);
            reader.read_milliseconds("cold_ms", model.slow_start_window);
            reader.read("start_capacity", model.initial_capacity_share, 0.001);
            reader.read("fall_multiple", model.overload_factor);
            reader.read_milliseconds("fall_ms", model.overload_window);
            reader.read_milliseconds("work_ms", host_group.settings.mean_work);
            reader.read("zone", host_group.settings.zone);
            reader.read("kind", host_group.settings.kind);
            reader.read_integer("cell", host_group.settings.cell);
            into.hosts.push_back(host_group);
            ++group_number;
        }
        int item_number = 0;
        for (const Value& item : root_reader.list("flows")) {
            fakes::Flow flow;
            MappingReader reader(item, "flows[" + std::to_string(item_number++) + "]", file,
                                 problems);
            for (const char* name : {"account", "key", "target", "deadline_ms"})
                reader.require(name);
            reader.read("account", flow.account);
            reader.read("key", flow.key);
            reader.read("method", flow.method);
            reader.read("target", flow.target);
            reader.read("effect", flow.effect);
            reader.read("rate", flow.rate);
            reader.read("units", flow.units);
            reader.read_milliseconds("deadline_ms", flow.deadline);
            reader.read_integer("body", flow.body_size);
            reader.read_integer("retries", flow.retries);
            reader.read("burst_rate", flow.burst_rate);
            reader.read_seconds("burst_from", flow.burst_from);
            reader.read_seconds("burst_until", flow.burst_until);
            if (flow.effect != "safe" && flow.effect != "keyed" && flow.effect != "unsafe")
                reader.add_problem(item, "effect", "safe, keyed or unsafe");
            into.flows.push_back(flow);
        }
        item_number = 0;
        for (const Value& item : root_reader.list("happenings")) {
            ScenarioEvent event;
            event.line = item.line;
            MappingReader reader(item, "happenings[" + std::to_string(item_number++) + "]", file,
                                 problems);
            std::string action_name;
            reader.require("at");
            reader.read("do", action_name);
            reader.read_seconds("at", event.at);
            reader.read_seconds("for", event.duration);
            reader.read_integer("gateway", event.index);
            reader.read_integer("host", event.index);
            for (const char* name : {"plan", "zone", "file"})
                reader.read(name, event.argument);
            reader.read("loss", event.loss);
            const auto it = actions_by_name().find(action_name);
            if (it == actions_by_name().end()) {
                std::string known_actions;
                for (const auto& [name, action] : actions_by_name())
                    known_actions += (known_actions.empty() ? "" : ", ") + name;
                reader.add_problem(item, "do", "one of " + known_actions);
                continue;
            }
            event.action = it->second;
            const bool is_gateway_action = event.action == ScenarioAction::kill_gateway ||
                                           event.action == ScenarioAction::start_gateway ||
                                           event.action == ScenarioAction::isolate_gateway;
            const bool is_host_action = event.action == ScenarioAction::drain_host ||
                                        event.action == ScenarioAction::kill_host ||
                                        event.action == ScenarioAction::start_host ||
                                        event.action == ScenarioAction::stall_host ||
                                        event.action == ScenarioAction::reject_plan ||
                                        event.action == ScenarioAction::truncate_responses;
            if (is_gateway_action && event.index >= into.gateways)
                reader.add_problem(item, "gateway", "a gateway that the scenario has");
            if (is_host_action && event.index >= into.total_hosts())
                reader.add_problem(item, "host", "a host that the scenario has");
            into.events.push_back(event);
        }
    }
    std::stable_sort(into.events.begin(), into.events.end(),
                     [](const ScenarioEvent& a, const ScenarioEvent& b) { return a.at < b.at; });
    return problems.size() == problems_before;
}

}  // namespace silverreach::scenario
