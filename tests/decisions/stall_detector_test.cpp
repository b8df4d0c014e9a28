// A stall of this process must not make a peer count as unresponsive.
#include "decisions/stall_detector.h"

#include <gtest/gtest.h>

#include <utility>

#include "decisions/quota/lease_codec.h"
#include "tests/decisions/support/lease_holder_harness.h"

using namespace silverreach;
using namespace silverreach::decision_tests;
using namespace std::chrono_literals;

// After a stall, the timer of the lease request fires before the grant that has arrived is handled.
TEST(StallDetector, OwnStallDoesNotMakeTheLeaseOwnerUnresponsive) {
    constexpr Micros stall = 600ms;
    Settings settings = two_instance_settings();
    settings.rank = 1 - owner_rank(2);
    EngineHarness harness(settings);
    const auto requested = actions_of<SendPeerMessage>(
        harness.arrive({.id = 1, .time_remaining = 5s, .subset_size = 2}));
    ASSERT_EQ(requested.size(), 1u);
    const auto nonce = lease_request_in(requested[0]).nonce;
    const auto timer_tokens = std::exchange(harness.timer_tokens, {});
    harness.now += stall;
    for (const auto& [due, token] : timer_tokens) {
        if (due > harness.now) continue;
        EXPECT_TRUE(actions_of<SendPeerMessage>(harness.handle(TimerFired{token})).empty());
    }
    const LeaseGrant grant{.nonce = nonce, .units = 1, .demand_rate = 1};
    const auto caused = harness.handle(PeerMessageReceived{requested[0].to, encode({grant})});
    EXPECT_EQ(actions_of<SendAttempt>(caused).size(), 1u);
}

TEST(StallDetector, DetectsAnOverdueHeartbeatUntilTheNextOne) {
    StallDetector detector;
    detector.on_heartbeat(1s);
    EXPECT_FALSE(detector.is_stalled(1s + StallDetector::stall_threshold));
    const Micros late = 1s + StallDetector::stall_threshold + 1us;
    EXPECT_TRUE(detector.is_stalled(late));
    detector.on_heartbeat(late);
    EXPECT_TRUE(detector.is_stalled(late))
        << "events at the time of the late heartbeat follow the stall";
    EXPECT_FALSE(detector.is_stalled(late + 1us));
}

TEST(StallDetector, FirstHeartbeatIsNoStall) {
    StallDetector detector;
    EXPECT_FALSE(detector.has_started());
    detector.on_heartbeat(1h);
    EXPECT_TRUE(detector.has_started());
    EXPECT_FALSE(detector.is_stalled(1h));
}
