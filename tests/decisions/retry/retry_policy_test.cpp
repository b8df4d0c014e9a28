// Which requests are retried after a failed attempt, and how the others end.
#include <gtest/gtest.h>

#include <cstdint>

#include "tests/decisions/support/engine_harness.h"

using namespace silverreach;
using namespace silverreach::decision_tests;
using namespace std::chrono_literals;

TEST(RetryPolicy, KeyedRequestIsRetriedInItsCellAndNotRejectedOnceItMayHaveRun) {
    Settings settings = single_instance_settings();
    settings.classes[0].idempotency = Idempotency::idempotency_key;
    settings.classes[0].deduplication_scope = DeduplicationScope::cell;
    settings.classes[0].deduplication_window = 1s;
    settings.may_hedge = false;
    for (std::uint64_t seed = 0; seed < 20; ++seed) {
        EngineHarness harness(settings,
                              {make_endpoint("a", EndpointStatus::available, 1),
                               make_endpoint("b", EndpointStatus::available, 2),
                               make_endpoint("c", EndpointStatus::available, 2)},
                              seed);
        const auto first = actions_of<SendAttempt>(harness.arrive({.id = 1}));
        ASSERT_EQ(first.size(), 1u);
        harness.now += 50ms;
        const auto caused = harness.end_attempt(
            {.id = 1, .endpoint = first[0].endpoint, .outcome = Outcome::reset, .duration = 50ms});
        EXPECT_TRUE(actions_of<RejectRequest>(caused).empty());
        for (const SendAttempt& retry : actions_of<SendAttempt>(caused))
            EXPECT_EQ(retry.endpoint == "a", first[0].endpoint == "a");
        EXPECT_TRUE(actions_of<RejectRequest>(harness.advance(2s)).empty());
        EXPECT_EQ(actions_of<FailRequest>(harness.actions).size(), 1u);
    }
}

TEST(RetryPolicy, NonIdempotentRequestIsNotRetriedOnceItMayHaveRun) {
    Settings settings = single_instance_settings();
    settings.classes[0].idempotency = Idempotency::non_idempotent;
    EngineHarness harness(settings, make_endpoints('a', 'c'));
    const auto first = actions_of<SendAttempt>(harness.arrive({.id = 1}));
    ASSERT_EQ(first.size(), 1u);
    const auto after_reset = harness.end_attempt(
        {.id = 1, .endpoint = first[0].endpoint, .outcome = Outcome::reset, .duration = 50ms});
    EXPECT_TRUE(actions_of<SendAttempt>(after_reset).empty());
    EXPECT_EQ(actions_of<FailRequest>(after_reset).size(), 1u);
    const auto second = actions_of<SendAttempt>(harness.arrive({.id = 2}));
    ASSERT_EQ(second.size(), 1u);
    const auto after_rejection = harness.end_attempt(
        {.id = 2, .endpoint = second[0].endpoint, .outcome = Outcome::rejected, .duration = 5ms});
    EXPECT_EQ(actions_of<SendAttempt>(after_rejection).size(), 1u);
}
