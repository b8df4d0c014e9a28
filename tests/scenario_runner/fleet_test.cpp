// The judge of fleet days, and the days themselves where they must come out the same each time.
#include <gtest/gtest.h>

#include "scenario_runner/fleet/arrivals.h"
#include "scenario_runner/fleet/virtual_fleet.h"

using namespace silverreach;
using namespace silverreach::scenario;
using namespace std::chrono_literals;

namespace {
FleetDay small_day() {
    FleetDay day;
    day.instances = 3, day.length = 9s, day.quota = 50, day.offered = 150;
    return day;
}
std::vector<FleetTry> at_hosts(int count, Micros every) {
    std::vector<FleetTry> tries;
    for (int i = 0; i < count; ++i) {
        FleetTry t;
        t.sent = t.at_host = every * i, t.ended = t.sent + 1ms, t.ending = Ending::served;
        tries.push_back(t);
    }
    return tries;
}
}  // namespace

TEST(FleetMeasure, OverTheBucketIsFound) {
    EXPECT_EQ(over_bucket(at_hosts(10, 0us), 10, 10), 0);
    EXPECT_NEAR(over_bucket(at_hosts(13, 0us), 10, 10), 3, 1e-9);
    EXPECT_EQ(over_bucket(at_hosts(100, 100ms), 10, 1), 0);
    EXPECT_NEAR(over_bucket(at_hosts(100, 50ms), 10, 1), 49.5, 0.01);  // twice the rate for 5 s
}

TEST(FleetMeasure, EachBoundIsSeenToFail) {
    FleetDay day = small_day();
    day.least_served = 0.97, day.most_over = 5, day.most_wait_ms = 1, day.most_refusal_ms = 5;
    auto tries = at_hosts(900, 10ms);
    const auto held = held_against(day, measure(day, tries, {}));
    ASSERT_EQ(held.size(), 1u);  // 100 a second pass where 50 may
    EXPECT_NE(held[0].find("over the quota"), std::string::npos);
    for (std::size_t i = 0; i < tries.size(); ++i) {
        tries[i].at_host += 20ms, tries[i].ended = tries[i].at_host + 1ms;
        if (i % 3 != 0) tries[i].ending = Ending::quota, tries[i].at_host = -1us;
    }
    const auto late = held_against(day, measure(day, tries, {}));
    ASSERT_EQ(late.size(), 3u);
    EXPECT_NE(late[0].find("in the worst 5 s"), std::string::npos);
    EXPECT_NE(late[1].find("wait for leave"), std::string::npos);
    EXPECT_NE(late[2].find("refusals"), std::string::npos);
    EXPECT_FALSE(
        held_against(day, measure(day, {}, {})).empty());  // a day without tries proves nothing
}

TEST(FleetArrivals, FallAsTheShapeSays) {
    FleetDay day = small_day();
    day.instances = 4, day.shape = Shape::halving;
    Arrivals arrivals(day);
    std::vector<int> count(4);
    for (int i = 0; i < 8000; ++i)
        ++count[static_cast<std::size_t>(arrivals.next().instance)];
    EXPECT_NEAR(count[0], 4000, 200);
    EXPECT_NEAR(count[1], 2000, 150);
    EXPECT_NEAR(count[3], 1000, 100);
}

TEST(FleetDays, ErrorsNameLineAndField) {
    std::vector<FleetDay> days;
    std::vector<openapi::Problem> problems;
    EXPECT_FALSE(parse_fleet(
        "fleet: x\ninstances: 3\ndays:\n  - {shape: round}\n  - {troubles: [{do: kill, at: 1, for: "
        "1, instance: 7}]}\n  - {wrong: 1}\n",
        "f.yaml", days, problems));
    ASSERT_EQ(problems.size(), 3u);
    EXPECT_EQ(openapi::to_string(problems[0]).find("f.yaml:4"), 0u);
    EXPECT_NE(problems[1].field.find("days[1].troubles"), std::string::npos);
    EXPECT_NE(problems[2].field.find("wrong"), std::string::npos);
}

// A day with fewer instances than the whole has must not take its troubles beyond them.
TEST(FleetDays, TroublesFitTheDaysOwnInstances) {
    const auto bad = [](const std::string& text) {
        std::vector<FleetDay> days;
        std::vector<openapi::Problem> problems;
        parse_fleet(text, "f.yaml", days, problems);
        return problems.size();
    };
    const std::string kill =
        "fleet: x\ninstances: 9\ntroubles: [{do: kill, at: 1, for: 1, instance: 7}]\ndays:\n";
    EXPECT_EQ(bad(kill + "  - {name: a}\n"), 0u);
    EXPECT_EQ(bad(kill + "  - {instances: 3}\n"), 1u);
    EXPECT_EQ(bad("fleet: x\ntroubles: [{do: partition, at: 1, for: 1}]\n"), 1u);
}

TEST(FleetDays, InVirtualTimeTheSameDayIsTheSame) {
    FleetDay day = small_day();
    day.loss = 0.2, day.most_delay = 40ms;
    day.troubles.push_back({Trouble::kill, 4s, 1s, -1, 0});
    const auto a = play_virtual(day, 1000), b = play_virtual(day, 1000);
    ASSERT_EQ(a.tries.size(), b.tries.size());
    ASSERT_GT(a.tries.size(), 1000u);
    for (std::size_t i = 0; i < a.tries.size(); ++i) {
        EXPECT_EQ(a.tries[i].ended, b.tries[i].ended);
        EXPECT_EQ(a.tries[i].ending, b.tries[i].ending);
    }
    EXPECT_EQ(a.traffic.bytes, b.traffic.bytes);
}

// A quota that nothing holds must not pass for a kept one.
TEST(FleetDays, AFleetThatIsPartedIsSeenToBeOver) {
    FleetDay day = small_day();
    day.instances = 12, day.length = 20s, day.most_over = 20;
    day.troubles.push_back({Trouble::partition, 2s, 17s, -1, 0});
    const auto result = play_virtual(day, 1000);
    EXPECT_FALSE(held_against(day, measure(day, result.tries, result.traffic)).empty());
}
