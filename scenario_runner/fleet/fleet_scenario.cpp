#include "scenario_runner/fleet/fleet_scenario.h"

#include <algorithm>
#include <map>

#include "scenario_runner/mapping_reader.h"

namespace silverreach::scenario {
namespace {
using openapi::Value;
using namespace std::chrono_literals;

void read_trouble(const Value& item, const std::string& field, const std::string& file,
                  std::vector<openapi::Problem>& problems, FleetDay& day) {
    static const std::map<std::string, Trouble> kinds = {{"kill", Trouble::kill},
                                                         {"stall", Trouble::stall},
                                                         {"partition", Trouble::partition},
                                                         {"lose", Trouble::lose},
                                                         {"restart-all", Trouble::restart_all}};
    Reader r(item, field, file, problems);
    FleetTrouble t;
    std::string kind, who;
    for (const char* name : {"do", "at", "for"})
        r.need(name);
    r.read("do", kind);
    r.read_seconds("at", t.at);
    r.read_seconds("for", t.span);
    r.read("loss", t.loss);
    r.read("instance", who);
    if (!who.empty() && who != "home") {
        double rank = -1;
        const Value* v = r.find("instance");
        if (!v->as(rank) || rank < 0 || rank != static_cast<int>(rank))
            r.problem(*v, "instance", "home, or a rank");
        t.instance = static_cast<int>(rank);
    }
    if (const auto it = kinds.find(kind); it != kinds.end())
        t.kind = it->second;
    else
        r.problem(item, "do", "kill, stall, partition, lose or restart-all");
    if (t.loss > 1) r.problem(item, "loss", "a share, 0 to 1");
    day.troubles.push_back(t);
}

void read_day(const Value& value, const std::string& field, const std::string& file,
              std::vector<openapi::Problem>& problems, FleetDay& day, bool root) {
    static const std::map<std::string, Shape> shapes = {
        {"even", Shape::even}, {"halving", Shape::halving}, {"moving", Shape::moving}};
    Reader r(value, field, file, problems);
    r.read(root ? "fleet" : "name", day.name);
    if (root) r.find("days");
    r.read_whole("seed", day.seed);
    r.read_whole("instances", day.instances, 1);
    r.read_whole("hosts", day.hosts, 1);
    r.read_whole("accounts", day.accounts, 1);
    r.read_ms("host_ms", day.host_time);
    r.read("quota", day.quota);
    r.read("burst", day.burst);
    r.read("ceiling", day.ceiling);
    r.read("ceiling_burst", day.ceiling_burst);
    r.read("offered", day.offered, 0.001);
    r.read("first_share", day.first_share);
    r.read_seconds("move_every", day.move_every);
    r.read_seconds("seconds", day.length);
    r.read_ms("deadline_ms", day.deadline);
    r.read_ms("aim_ms", day.aim);
    r.read("messages_per_s", day.messages_per_s);
    r.read("loss", day.loss);
    r.read_ms("least_delay_ms", day.least_delay);
    r.read_ms("most_delay_ms", day.most_delay);
    r.read("least_served", day.least_served);
    r.read("most_over", day.most_over);
    r.read("most_wait_ms", day.most_wait_ms);
    r.read("most_refusal_ms", day.most_refusal_ms);
    std::string shape(to_string(day.shape));
    r.read("shape", shape);
    if (const auto it = shapes.find(shape); it != shapes.end())
        day.shape = it->second;
    else
        r.problem(value, "shape", "even, halving or moving");
    if (day.instances > 500) r.problem(value, "instances", "500 at most");
    if (day.loss > 1 || day.first_share > 1) r.problem(value, "loss", "shares of 0 to 1");
    if (day.most_delay < day.least_delay)
        r.problem(value, "most_delay_ms", "no less than least_delay_ms");
    if (day.length <= 0us || day.deadline <= 0us || day.aim <= 0us || day.move_every <= 0us)
        r.problem(value, "", "seconds, deadline_ms, aim_ms and move_every above 0");
    if (value.find("troubles")) day.troubles.clear();
    int n = 0;
    for (const Value& item : r.list("troubles"))
        read_trouble(item, field + ".troubles[" + std::to_string(n++) + "]", file, problems, day);
    // Here, as a day may have its troubles from the whole and its instances of its own.
    for (const FleetTrouble& t : day.troubles) {
        if (t.instance >= day.instances)
            r.problem(value, "troubles", "instances below the day's number of them");
        if (day.instances < 2 && (t.kind == Trouble::partition || t.kind == Trouble::lose))
            r.problem(value, "troubles", "two instances at least for partition and lose");
    }
    if (day.ceiling > 0 && day.ceiling_burst <= 0) day.ceiling_burst = day.ceiling;
}
}  // namespace

std::string_view to_string(Shape shape) {
    return shape == Shape::even ? "even" : shape == Shape::halving ? "halving" : "moving";
}
double burst_of(const FleetDay& day) {
    return day.burst > 0 ? day.burst : day.quota;
}

bool is_fleet(std::string_view text, const std::string& file) {
    std::vector<openapi::Problem> ignored;
    Value root;
    return openapi::parse(text, file, root, ignored) && root.find("fleet");
}

bool parse_fleet(std::string_view text, const std::string& file, std::vector<FleetDay>& into,
                 std::vector<openapi::Problem>& problems) {
    const std::size_t before = problems.size();
    Value root;
    if (!openapi::parse(text, file, root, problems)) return false;
    FleetDay base;
    read_day(root, "fleet", file, problems, base, true);
    const Value* days = root.find("days");
    if (!days)
        into.push_back(base);
    else if (!days->is(Value::Kind::sequence) || days->items.empty())
        problems.push_back({file, days->line, "fleet.days", "a list of days"});
    else
        for (std::size_t i = 0; i < days->items.size(); ++i) {
            FleetDay day = base;
            read_day(days->items[i], "days[" + std::to_string(i) + "]", file, problems, day, false);
            into.push_back(day);
        }
    return problems.size() == before;
}

}  // namespace silverreach::scenario
