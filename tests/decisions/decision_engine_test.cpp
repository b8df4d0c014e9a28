// The engine ignores unknown, late, repeated and malformed events.
#include <gtest/gtest.h>

#include <variant>

#include "decisions/quota/lease_codec.h"
#include "tests/decisions/support/engine_harness.h"

using namespace silverreach;
using namespace silverreach::decision_tests;
using namespace std::chrono_literals;

TEST(DecisionEngine, IgnoresUnknownEvents) {
    EngineHarness harness(single_instance_settings());
    EXPECT_TRUE(harness.handle(ClientDisconnected{99}).empty());
    EXPECT_TRUE(
        harness
            .end_attempt(
                {.id = 99, .endpoint = "nowhere", .outcome = Outcome::timeout, .duration = 1s})
            .empty());
    EXPECT_TRUE(harness.handle(PeerMessageReceived{0, "junk"}).empty());
    EXPECT_TRUE(harness.handle(PeerMessageReceived{77, "junk"}).empty());
    EXPECT_TRUE(harness.handle(TimerFired{~0ull}).empty());
    EXPECT_TRUE(harness.handle(HealthCheckEnded{}).empty());
}

TEST(DecisionEngine, IgnoresLateAndRepeatedEvents) {
    EngineHarness harness(single_instance_settings());
    const auto sent = actions_of<SendAttempt>(harness.arrive({.id = 1}));
    ASSERT_EQ(sent.size(), 1u);
    const auto timer_tokens = harness.timer_tokens;
    harness.succeed(1, sent[0].endpoint, 20ms);
    EXPECT_TRUE(harness
                    .end_attempt({.id = 1,
                                  .endpoint = sent[0].endpoint,
                                  .outcome = Outcome::timeout,
                                  .duration = 2s})
                    .empty());
    for (const auto& [due, token] : timer_tokens) {
        for (const Action& action : harness.handle(TimerFired{token}))
            EXPECT_TRUE(std::holds_alternative<SetTimer>(action));
    }
    // A request that arrives with no time remaining is rejected immediately.
    EXPECT_TRUE(harness.arrive({.id = 2, .time_remaining = 0us}).size() == 1 &&
                actions_of<RejectRequest>(harness.actions).size() == 1);
}

TEST(DecisionEngine, IgnoresInvalidPeerMessagesAndHealthChecks) {
    constexpr int peer = 1;
    constexpr int unknown_peer = 2;
    EngineHarness harness(two_instance_settings());
    const LeaseRequest unknown_plan{
        .nonce = 1, .customer_hash = 2, .plan = 9, .subset_size = 2, .required_units = 1};
    const LeaseRequest empty_subset{
        .nonce = 1, .customer_hash = 2, .plan = 0, .subset_size = 0, .required_units = 1};
    const LeaseRequest subset_above_fleet{
        .nonce = 1, .customer_hash = 2, .plan = 0, .subset_size = 3, .required_units = 1};
    for (const LeaseRequest& request : {unknown_plan, empty_subset, subset_above_fleet})
        EXPECT_TRUE(harness.handle(PeerMessageReceived{peer, encode({request})}).empty());
    EXPECT_TRUE(
        harness.handle(PeerMessageReceived{unknown_peer, encode({LeaseRequest{}})}).empty());
    const LeaseGrant unrequested{.nonce = 77, .units = 50, .ceiling_units = 50, .demand_rate = 1};
    EXPECT_TRUE(harness.handle(PeerMessageReceived{peer, encode({unrequested})}).empty());
    EXPECT_TRUE(harness.handle(HealthCheckEnded{"unknown", Outcome::success, 1ms, {}}).empty());
    EXPECT_TRUE(harness.handle(HealthCheckEnded{"a", Outcome::timeout, 250ms, {}}).empty());
}
