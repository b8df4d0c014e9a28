// Quota accounting of one instance: rate quota, ceiling and plan changes.
#include <gtest/gtest.h>

#include "tests/decisions/support/engine_harness.h"

using namespace silverreach;
using namespace silverreach::decision_tests;
using namespace std::chrono_literals;

namespace {
enum PlanIndex {
    small_plan,
    big_plan,
    plan_with_ceiling
};

Settings settings_with_three_plans() {
    Settings settings = single_instance_settings();
    settings.plans = {{.name = "small", .rate = 1, .burst = 4, .excess_cost_factor = 1},
                      {.name = "big", .rate = 2, .burst = 40, .excess_cost_factor = 1},
                      {.name = "capped",
                       .rate = 1000,
                       .burst = 1000,
                       .excess_cost_factor = 1,
                       .ceiling_rate = 2,
                       .ceiling_burst = 4}};
    return settings;
}
}  // namespace

TEST(QuotaAccounting, AdmitsBurstThenRejectsWithRetryAfter) {
    EngineHarness harness(single_instance_settings());
    harness.advance(2s);  // a new owner starts with half of the burst
    for (RequestId id = 1; id <= 4; ++id)
        EXPECT_EQ(actions_of<SendAttempt>(harness.arrive({.id = id})).size(), 1u);
    const auto rejected = actions_of<RejectRequest>(harness.arrive({.id = 5}));
    ASSERT_EQ(rejected.size(), 1u);
    EXPECT_NEAR(rejected[0].retry_after.count(), 500'000, 1000);  // one unit at 2 units/s
    for (RequestId id = 1; id <= 4; ++id)
        harness.succeed(id, "a", 100ms);
    harness.advance(501ms);
    // The rejected request was not charged.
    EXPECT_EQ(actions_of<SendAttempt>(harness.arrive({.id = 6})).size(), 1u);
}

TEST(QuotaAccounting, PlanWithoutRateIsNotLimited) {
    EngineHarness harness(without_rate_quota(single_instance_settings()));
    for (RequestId id = 1; id <= 10; ++id) {
        const auto sent = actions_of<SendAttempt>(harness.arrive({.id = id}));
        ASSERT_EQ(sent.size(), 1u);
        harness.succeed(id, sent[0].endpoint, 50ms);
    }
}

// The instance may have used the burst before the restart.
TEST(QuotaAccounting, RestartedInstanceStartsWithEmptyCeiling) {
    Settings settings = single_instance_settings();
    settings.plans[0].ceiling_rate = 4;
    settings.plans[0].ceiling_burst = 8;
    EngineHarness harness(settings);
    EXPECT_EQ(actions_of<RejectRequest>(harness.arrive({.id = 1})).size(), 1u);
    harness.advance(251ms);
    EXPECT_EQ(actions_of<SendAttempt>(harness.arrive({.id = 2})).size(), 1u);
}

TEST(QuotaAccounting, SwitchingPlansBackAndForthDoesNotRefillQuota) {
    EngineHarness harness(settings_with_three_plans());
    RequestId last_id = 0;
    const auto send_in_plan = [&](int plan) {
        const auto sent = actions_of<SendAttempt>(harness.arrive({.id = ++last_id, .plan = plan}));
        for (const SendAttempt& attempt : sent)
            harness.succeed(attempt.id, attempt.endpoint, 5ms);
        return static_cast<int>(sent.size());
    };
    int sent = 0;
    for (int request = 0; request < 40; ++request)
        sent += send_in_plan(request % 2 == 0 ? small_plan : big_plan);
    EXPECT_GE(sent, 2);
    EXPECT_LE(sent, 3) << "half of the small plan's burst at the start, and the units of a lease";
    harness.advance(5s);  // refills ten units, because the customer's latest plan is the big one
    sent = 0;
    for (int request = 0; request < 40; ++request)
        sent += send_in_plan(big_plan);
    EXPECT_GE(sent, 8) << "requests in the new plan are admitted";
    EXPECT_LE(sent, 11);
}

TEST(QuotaAccounting, SwitchToPlanWithCeilingChargesRequestsAdmittedBefore) {
    EngineHarness harness(settings_with_three_plans());
    harness.advance(100ms);
    // Two requests are admitted in a plan without a ceiling and queued because no endpoint is
    // available.
    harness.handle(EndpointsChanged{true, {}});
    for (RequestId id = 1; id <= 2; ++id)
        harness.arrive({.id = id, .plan = small_plan});
    harness.arrive({.id = 3, .plan = plan_with_ceiling});
    harness.handle(EndpointsChanged{true, make_endpoints('a', 'd')});
    harness.advance(20ms);
    int sent = static_cast<int>(actions_of<SendAttempt>(harness.actions).size());
    for (RequestId id = 10; id < 60; ++id) {
        const auto caused = harness.arrive({.id = id, .plan = plan_with_ceiling});
        sent += static_cast<int>(actions_of<SendAttempt>(caused).size());
    }
    EXPECT_LE(sent, 2 + 4) << "the ceiling's burst and the requests queued before the switch, "
                              "which must not make the balance negative";
}
