// The settings that an engine accepts or rejects.
#include <gtest/gtest.h>

#include <stdexcept>

#include "tests/decisions/support/engine_harness.h"

using namespace silverreach;
using namespace silverreach::decision_tests;
using namespace std::chrono_literals;

TEST(SettingsValidation, InvalidSettingsThrow) {
    Settings settings = single_instance_settings();
    settings.rank = 3;
    EXPECT_THROW(DecisionEngine(settings, 1, 0us), std::invalid_argument);
    settings = single_instance_settings();
    settings.plans[0].rate = -1;
    EXPECT_THROW(DecisionEngine(settings, 1, 0us), std::invalid_argument);
}

TEST(SettingsValidation, ZeroValuesAreAccepted) {
    Settings settings;
    settings.classes = {{.name = "read",
                         .idempotency = Idempotency::idempotent,
                         .latency_objective = 800ms,
                         .deadline = 2s,
                         .priority_weight = 0}};
    settings.plans = {{.name = "none", .priority_factor = 0},
                      {.name = "no burst", .rate = 1, .excess_cost_factor = 1}};
    constexpr int plan_without_quota = 0;
    constexpr int plan_without_burst = 1;
    EngineHarness harness(settings);
    const auto first = harness.arrive({.id = 1, .plan = plan_without_quota, .customer = "x"});
    EXPECT_EQ(actions_of<SendAttempt>(first).size(), 1u);
    const auto second =
        harness.arrive({.id = 2, .units = 0, .plan = plan_without_burst, .customer = "y"});
    EXPECT_EQ(actions_of<SendAttempt>(second).size(), 1u);
    harness.arrive({.id = 3, .units = 5, .plan = plan_without_burst, .customer = "y"});
    harness.arrive({.id = 4, .plan = plan_without_quota, .customer = "x", .subset_size = 0});
    harness.advance(3s);
    EXPECT_EQ(actions_of<RejectRequest>(harness.actions).size() +
                  actions_of<FailRequest>(harness.actions).size(),
              4u);
}
