// Metrics and bounds of fleet scenarios, their parser, and the simulation in virtual time.
#include <gtest/gtest.h>

#include "scenario_runner/fleet/arrivals.h"
#include "scenario_runner/fleet/virtual_fleet.h"

using namespace silverreach;
using namespace silverreach::scenario;
using namespace std::chrono_literals;

namespace {
FleetScenario small_scenario() {
    FleetScenario scenario;
    scenario.instances = 3, scenario.duration = 9s, scenario.quota = 50,
    scenario.offered_rate = 150;
    return scenario;
}
std::vector<FleetRequest> requests_at_interval(int count, Micros interval) {
    std::vector<FleetRequest> requests;
    for (int i = 0; i < count; ++i) {
        FleetRequest request;
        request.sent_at = request.received_at = interval * i,
        request.ended_at = request.sent_at + 1ms, request.outcome = RequestOutcome::served;
        requests.push_back(request);
    }
    return requests;
}
}  // namespace

TEST(FleetMetrics, MeasuresUnitsBeyondTheTokenBucket) {
    EXPECT_EQ(max_bucket_excess(requests_at_interval(10, 0us), 10, 10), 0);
    EXPECT_NEAR(max_bucket_excess(requests_at_interval(13, 0us), 10, 10), 3, 1e-9);
    EXPECT_EQ(max_bucket_excess(requests_at_interval(100, 100ms), 10, 1), 0);
    EXPECT_NEAR(max_bucket_excess(requests_at_interval(100, 50ms), 10, 1), 49.5,
                0.01);  // twice the rate for 5 s
}

TEST(FleetMetrics, ReportsEachBrokenBound) {
    FleetScenario scenario = small_scenario();
    scenario.min_served_share = 0.97, scenario.max_quota_excess = 5, scenario.max_wait_p99_ms = 1,
    scenario.max_rejection_p99_ms = 5;
    auto requests = requests_at_interval(900, 10ms);
    const auto violations = find_broken_bounds(scenario, measure(scenario, requests, {}));
    ASSERT_EQ(violations.size(), 1u);  // 100 requests per second where the quota allows 50
    EXPECT_NE(violations[0].find("over the quota"), std::string::npos);
    for (std::size_t i = 0; i < requests.size(); ++i) {
        requests[i].received_at += 20ms, requests[i].ended_at = requests[i].received_at + 1ms;
        if (i % 3 != 0) requests[i].outcome = RequestOutcome::quota, requests[i].received_at = -1us;
    }
    const auto late_violations = find_broken_bounds(scenario, measure(scenario, requests, {}));
    ASSERT_EQ(late_violations.size(), 3u);
    EXPECT_NE(late_violations[0].find("in the worst 5 s"), std::string::npos);
    EXPECT_NE(late_violations[1].find("admission wait"), std::string::npos);
    EXPECT_NE(late_violations[2].find("rejections"), std::string::npos);
    EXPECT_FALSE(find_broken_bounds(scenario, measure(scenario, {}, {}))
                     .empty());  // a run without requests is not valid
}

TEST(FleetArrivals, FollowTheHalvingShape) {
    FleetScenario scenario = small_scenario();
    scenario.instances = 4, scenario.shape = LoadShape::halving;
    Arrivals arrivals(scenario);
    std::vector<int> counts(4);
    for (int i = 0; i < 8000; ++i)
        ++counts[static_cast<std::size_t>(arrivals.next().instance)];
    EXPECT_NEAR(counts[0], 4000, 200);
    EXPECT_NEAR(counts[1], 2000, 150);
    EXPECT_NEAR(counts[3], 1000, 100);
}

TEST(FleetScenario, ErrorsNameLineAndField) {
    std::vector<FleetScenario> scenarios;
    std::vector<openapi::Problem> problems;
    EXPECT_FALSE(parse_fleet_scenarios(
        "fleet: x\ninstances: 3\ndays:\n  - {shape: round}\n  - {troubles: [{do: kill, at: 1, for: "
        "1, instance: 7}]}\n  - {wrong: 1}\n",
        "f.yaml", scenarios, problems));
    ASSERT_EQ(problems.size(), 3u);
    EXPECT_EQ(openapi::to_string(problems[0]).find("f.yaml:4"), 0u);
    EXPECT_NE(problems[1].field.find("days[1].troubles"), std::string::npos);
    EXPECT_NE(problems[2].field.find("wrong"), std::string::npos);
}

// A scenario with fewer instances than the file's default inherits faults that may not fit it.
TEST(FleetScenario, FaultsMustFitTheScenariosInstances) {
    const auto count_problems = [](const std::string& text) {
        std::vector<FleetScenario> scenarios;
        std::vector<openapi::Problem> problems;
        parse_fleet_scenarios(text, "f.yaml", scenarios, problems);
        return problems.size();
    };
    const std::string text_with_kill =
        "fleet: x\ninstances: 9\ntroubles: [{do: kill, at: 1, for: 1, instance: 7}]\ndays:\n";
    EXPECT_EQ(count_problems(text_with_kill + "  - {name: a}\n"), 0u);
    EXPECT_EQ(count_problems(text_with_kill + "  - {instances: 3}\n"), 1u);
    EXPECT_EQ(count_problems("fleet: x\ntroubles: [{do: partition, at: 1, for: 1}]\n"), 1u);
}

TEST(VirtualFleet, SameScenarioGivesTheSameResult) {
    FleetScenario scenario = small_scenario();
    scenario.loss = 0.2, scenario.max_delay = 40ms;
    scenario.faults.push_back({FaultKind::kill, 4s, 1s, -1, 0});
    const auto first = simulate_fleet(scenario, 1000), second = simulate_fleet(scenario, 1000);
    ASSERT_EQ(first.requests.size(), second.requests.size());
    ASSERT_GT(first.requests.size(), 1000u);
    for (std::size_t i = 0; i < first.requests.size(); ++i) {
        EXPECT_EQ(first.requests[i].ended_at, second.requests[i].ended_at);
        EXPECT_EQ(first.requests[i].outcome, second.requests[i].outcome);
    }
    EXPECT_EQ(first.traffic.bytes, second.traffic.bytes);
}

// Without messages between its halves the fleet exceeds the quota; the bound must report that.
TEST(VirtualFleet, PartitionedFleetExceedsTheQuotaBound) {
    FleetScenario scenario = small_scenario();
    scenario.instances = 12, scenario.duration = 20s, scenario.max_quota_excess = 20;
    scenario.faults.push_back({FaultKind::partition, 2s, 17s, -1, 0});
    const auto result = simulate_fleet(scenario, 1000);
    EXPECT_FALSE(
        find_broken_bounds(scenario, measure(scenario, result.requests, result.traffic)).empty());
}
