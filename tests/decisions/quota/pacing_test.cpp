// Pacing by the warming-up limiter while the back end is overloaded. In the plan of 2 units/s with
// a burst of 4 units the stable interval is 0.5 s, the warm-up time 2 s, the threshold 2 units, the
// capacity 4 units and the slope 0.5 s per unit. If the store is full, the first unit costs
// (1.5 s + 1.0 s) / 2 = 1.25 s.
#include <gtest/gtest.h>

#include "tests/decisions/support/engine_harness.h"

using namespace silverreach;
using namespace silverreach::decision_tests;
using namespace std::chrono_literals;

TEST(Pacing, DelaysTheNextRequestAndRejectsEarlyBeyondItsDeadline) {
    EngineHarness harness(single_instance_settings());
    drive_into_overload(harness);
    EXPECT_EQ(actions_of<SendAttempt>(harness.arrive({.id = 1})).size(), 1u);  // without delay
    const auto rejected = actions_of<RejectRequest>(harness.arrive({.id = 2}));
    ASSERT_EQ(rejected.size(), 1u);
    EXPECT_NEAR(rejected[0].retry_after.count(), 1'250'000, 2);
    const auto rejected_again = actions_of<RejectRequest>(harness.arrive({.id = 3}));
    ASSERT_EQ(rejected_again.size(), 1u);
    EXPECT_NEAR(rejected_again[0].retry_after.count(), 1'250'000, 2);  // nothing was charged
}

// Two units above the threshold cost 2 x 1.5 - 0.5 x 2 x 2 / 2 = 2 s, and a third one below it
// costs 0.5 s.
TEST(Pacing, ChargesSeveralUnitsAcrossTheThreshold) {
    EngineHarness harness(single_instance_settings());
    harness.advance(2s);
    drive_into_overload(harness);
    EXPECT_EQ(actions_of<SendAttempt>(harness.arrive({.id = 1, .units = 3})).size(), 1u);
    const auto rejected = actions_of<RejectRequest>(harness.arrive({.id = 2}));
    ASSERT_EQ(rejected.size(), 1u);
    EXPECT_NEAR(rejected[0].retry_after.count(), 2'500'000, 2);
}

TEST(Pacing, ReleasesDelayedRequestByTimer) {
    Settings settings = single_instance_settings();
    settings.plans[0].rate = 20;  // stable interval 50 ms: the first unit costs at most 150 ms
    settings.plans[0].burst = 40;
    EngineHarness harness(settings);
    drive_into_overload(harness);
    EXPECT_EQ(actions_of<SendAttempt>(harness.arrive({.id = 1})).size(), 1u);
    EXPECT_TRUE(actions_of<SendAttempt>(harness.arrive({.id = 2})).empty());
    EXPECT_TRUE(actions_of<SendAttempt>(harness.advance(100ms)).empty());
    EXPECT_EQ(actions_of<SendAttempt>(harness.advance(60ms)).size(), 1u);
}
