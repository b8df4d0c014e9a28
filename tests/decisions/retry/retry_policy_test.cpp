// Which requests are sent again after a failed or overdue attempt.
#include <gtest/gtest.h>

#include <cstdint>

#include "tests/decisions/support/engine_harness.h"

using namespace silverreach;
using namespace silverreach::decision_tests;
using namespace std::chrono_literals;

namespace {
constexpr Micros never = 1h;

// The first request is left unanswered while others go to the same endpoint. Returns how long it
// took until the first request's attempt was cancelled, or `never`.
Micros time_to_cancel_first(EngineHarness& harness, bool others_succeed) {
    constexpr RequestId first_other = 40;
    constexpr RequestId other_count = 100;
    const Micros sent_at = harness.now;
    for (RequestId id = first_other; id < first_other + other_count; ++id) {
        harness.arrive({.id = id});
        auto caused = harness.advance(10ms);
        if (others_succeed) append(caused, harness.succeed(id, "a", 10ms));
        for (const CancelAttempt& cancel : actions_of<CancelAttempt>(caused)) {
            if (cancel.id == 1) return harness.now - sent_at;
        }
    }
    return never;
}
}  // namespace

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

// One connection in a hundred may stop responding while its endpoint serves all others.
TEST(RetryPolicy, OverdueFirstAttemptIsCancelledAndOnlyAnUnresponsiveEndpointEjected) {
    constexpr Micros objective_fraction = 440ms;  // 0.55 of the latency objective
    for (const bool others_succeed : {true, false}) {
        Settings settings = single_instance_settings();
        settings.may_hedge = false;
        settings.plans = {{.name = "plan", .rate = 1000, .burst = 1000}};
        EngineHarness harness(settings, {make_endpoint("a")});
        for (RequestId id = 10; id < 30; ++id) {
            harness.arrive({.id = id});
            harness.succeed(id, "a", 40ms);
        }
        ASSERT_EQ(actions_of<SendAttempt>(harness.arrive({.id = 1})).size(), 1u);
        const Micros waited = time_to_cancel_first(harness, others_succeed);
        if (others_succeed)
            EXPECT_GE(waited, objective_fraction) << "not before";
        else
            EXPECT_LT(waited, objective_fraction) << "an unresponsive endpoint is detected sooner";
        EXPECT_LT(waited, 500ms);
        harness.end_attempt(
            {.id = 1, .endpoint = "a", .outcome = Outcome::cancelled, .duration = waited});
        EXPECT_EQ(actions_of<SendAttempt>(harness.arrive({.id = 200})).size(),
                  others_succeed ? 1u : 0u)
            << "only an unresponsive endpoint is ejected";
    }
}
