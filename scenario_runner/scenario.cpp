#include "scenario_runner/scenario.h"

#include <algorithm>
#include <map>
#include <set>

#include "scenario_runner/mapping_reader.h"

namespace silverreach::scenario {
namespace {
using openapi::Value;
using Kind = Value::Kind;

const std::map<std::string, Deed>& deeds() {
    static const std::map<std::string, Deed> all = {
        {"kill-gateway", Deed::kill_gateway}, {"start-gateway", Deed::start_gateway},
        {"drain-host", Deed::drain_host},     {"kill-host", Deed::kill_host},
        {"start-host", Deed::start_host},     {"stall-host", Deed::stall_host},
        {"refuse-plan", Deed::refuse_plan},   {"cut-answers", Deed::cut_answers},
        {"lose-zone", Deed::lose_zone},       {"return-zone", Deed::return_zone},
        {"messages", Deed::messages},         {"cut-gateway", Deed::cut_gateway},
        {"describe", Deed::describe}};
    return all;
}

}  // namespace

int Scenario::hosts_in_all() const {
    int sum = 0;
    for (const HostGroup& g : hosts)
        sum += g.count;
    return sum;
}

bool parse_scenario(std::string_view text, const std::string& file, Scenario& into,
                    std::vector<openapi::Problem>& problems) {
    const std::size_t before = problems.size();
    Value root;
    if (!openapi::parse(text, file, root, problems)) return false;
    {
        Reader r(root, "scenario", file, problems);
        for (const char* name : {"name", "config", "description", "seconds", "hosts", "flows"})
            r.need(name);
        r.read("name", into.name);
        r.read("config", into.config);
        r.read("description", into.description);
        r.read_whole("seed", into.seed);
        r.read_whole("gateways", into.gateways, 1);
        r.read_seconds("seconds", into.length);
        r.read_seconds("settle", into.settle);
        r.read_ms("slack_ms", into.slack);
        r.read_ms("drain_grace_ms", into.drain_grace);
        r.read_ms("roster_lag_ms", into.roster_lag);
        r.read_ms("repeat_window_ms", into.repeat_window);
        r.read("ceiling_slack", into.ceiling_slack);
        r.read("loss", into.loss);
        r.read_ms("least_delay_ms", into.least_delay);
        r.read_ms("most_delay_ms", into.most_delay);
        int group = 0;
        for (const Value& item : r.list("hosts")) {
            HostGroup g;
            Reader h(item, "hosts[" + std::to_string(group) + "]", file, problems);
            auto& t = g.settings.tally;
            h.read_whole("count", g.count, 1);
            h.read_whole("cores", t.cores, 1);
            h.read("speed", t.speed, 0.001);
            h.read_whole("room", t.room);
            h.read_ms("cold_ms", t.cold);
            h.read("start_capacity", t.start_capacity, 0.001);
            h.read("fall_multiple", t.fall_multiple);
            h.read_ms("fall_ms", t.fall_time);
            h.read_ms("work_ms", g.settings.mean_work);
            h.read("zone", g.settings.zone);
            h.read("kind", g.settings.kind);
            h.read_whole("cell", g.settings.cell);
            into.hosts.push_back(g);
            ++group;
        }
        int number = 0;
        for (const Value& item : r.list("flows")) {
            fakes::Flow f;
            Reader w(item, "flows[" + std::to_string(number++) + "]", file, problems);
            for (const char* name : {"account", "key", "target", "deadline_ms"})
                w.need(name);
            w.read("account", f.account);
            w.read("key", f.key);
            w.read("method", f.method);
            w.read("target", f.target);
            w.read("effect", f.effect);
            w.read("rate", f.rate);
            w.read("units", f.units);
            w.read_ms("deadline_ms", f.deadline);
            w.read_whole("body", f.body);
            w.read_whole("retries", f.retries);
            w.read("burst_rate", f.burst_rate);
            w.read_seconds("burst_from", f.burst_from);
            w.read_seconds("burst_until", f.burst_until);
            if (f.effect != "safe" && f.effect != "keyed" && f.effect != "unsafe")
                w.problem(item, "effect", "safe, keyed or unsafe");
            into.flows.push_back(f);
        }
        number = 0;
        for (const Value& item : r.list("happenings")) {
            Happening x;
            x.line = item.line;
            Reader w(item, "happenings[" + std::to_string(number++) + "]", file, problems);
            std::string deed;
            w.need("at");
            w.read("do", deed);
            w.read_seconds("at", x.at);
            w.read_seconds("for", x.span);
            w.read_whole("gateway", x.which);
            w.read_whole("host", x.which);
            for (const char* name : {"plan", "zone", "file"})
                w.read(name, x.text);
            w.read("loss", x.loss);
            const auto it = deeds().find(deed);
            if (it == deeds().end()) {
                std::string all;
                for (const auto& [name, value] : deeds())
                    all += (all.empty() ? "" : ", ") + name;
                w.problem(item, "do", "one of " + all);
                continue;
            }
            x.deed = it->second;
            const bool gateway = x.deed == Deed::kill_gateway || x.deed == Deed::start_gateway ||
                                 x.deed == Deed::cut_gateway;
            const bool host = x.deed == Deed::drain_host || x.deed == Deed::kill_host ||
                              x.deed == Deed::start_host || x.deed == Deed::stall_host ||
                              x.deed == Deed::refuse_plan || x.deed == Deed::cut_answers;
            if (gateway && x.which >= into.gateways)
                w.problem(item, "gateway", "a gateway that the scenario has");
            if (host && x.which >= into.hosts_in_all())
                w.problem(item, "host", "a host that the scenario has");
            into.happenings.push_back(x);
        }
    }
    std::stable_sort(into.happenings.begin(), into.happenings.end(),
                     [](const Happening& a, const Happening& b) { return a.at < b.at; });
    return problems.size() == before;
}

}  // namespace silverreach::scenario
