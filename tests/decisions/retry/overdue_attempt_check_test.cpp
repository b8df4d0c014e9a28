// How attempts with an overdue response are handled.
#include <gtest/gtest.h>

#include "tests/decisions/support/engine_harness.h"

using namespace silverreach;
using namespace silverreach::decision_tests;
using namespace std::chrono_literals;

namespace {
constexpr Micros not_cancelled = 1h;

// Leaves the request with id 1 unanswered while other requests are sent to the same endpoint.
// Returns the time until the attempt of request 1 is cancelled, or `not_cancelled`.
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
    return not_cancelled;
}
}  // namespace

// Up to one connection in a hundred may stop responding although its endpoint serves all others.
TEST(OverdueAttemptCheck, CancelsFirstAttemptAndEjectsOnlyAnUnresponsiveEndpoint) {
    constexpr Micros min_cancel_time = 440ms;  // 0.55 of the latency objective
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
            EXPECT_GE(waited, min_cancel_time) << "not cancelled earlier";
        else
            EXPECT_LT(waited, min_cancel_time) << "an unresponsive endpoint is detected earlier";
        EXPECT_LT(waited, 500ms);
        harness.end_attempt(
            {.id = 1, .endpoint = "a", .outcome = Outcome::cancelled, .duration = waited});
        EXPECT_EQ(actions_of<SendAttempt>(harness.arrive({.id = 200})).size(),
                  others_succeed ? 1u : 0u)
            << "only an unresponsive endpoint is ejected";
    }
}

// The first responses to arrive are the shortest, so they do not represent the usual response time.
TEST(OverdueAttemptCheck, FirstShortResponsesDoNotMakeOtherEndpointsUnresponsive) {
    Settings settings = single_instance_settings();
    settings.may_hedge = false;
    settings.plans = {{.name = "plan", .rate = 1000, .burst = 1000}};
    EngineHarness harness(settings);
    for (RequestId id = 1; id <= 3; ++id)
        harness.arrive({.id = id});
    harness.advance(5ms);
    const auto sent = actions_of<SendAttempt>(harness.actions);
    ASSERT_EQ(sent.size(), 3u);
    harness.succeed(sent[0].id, sent[0].endpoint, 5ms);
    // The others take a little over a quarter of the latency objective.
    const auto caused = harness.advance(220ms);
    EXPECT_TRUE(actions_of<CancelAttempt>(caused).empty());
    EXPECT_EQ(actions_of<SendAttempt>(harness.arrive({.id = 4})).size(), 1u);
}
