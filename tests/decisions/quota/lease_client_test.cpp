// Quota leases from the holder's side: how one instance handles the owner's grants.
#include <gtest/gtest.h>

#include <string>
#include <utility>

#include "decisions/quota/lease_codec.h"
#include "tests/decisions/support/lease_holder_harness.h"

using namespace silverreach;
using namespace silverreach::decision_tests;
using namespace std::chrono_literals;

namespace {
// Time of steady demand after which the instance holds a standing lease.
constexpr Micros steady_use_duration = 3s;
constexpr double half_of_quota = 0.5;  // standing share that the owner grants
// Enough instances that the harness is not a successor of the owner.
constexpr int large_fleet = 64;

// A fleet whose owner does not respond; every other instance grants the required units.
class UnresponsiveOwnerFleet {
  public:
    UnresponsiveOwnerFleet() : harness_(settings()) {}
    // Sends one request and runs for 500 ms. Returns the number of attempts that were sent.
    int serve(RequestId id) {
        int sent_count = 0;
        std::vector<Action> caused_actions =
            harness_.arrive({.id = id, .subset_size = subset_size});
        for (Micros elapsed{0}; elapsed < 500ms; elapsed += 10ms) {
            const auto timer_actions = harness_.advance(10ms);
            append(caused_actions, timer_actions);
            sent_count += static_cast<int>(actions_of<SendAttempt>(timer_actions).size());
            for (const SendPeerMessage& message :
                 actions_of<SendPeerMessage>(std::exchange(caused_actions, {})))
                sent_count += reply_to(message);
        }
        return sent_count;
    }

  private:
    static constexpr int subset_size = 8;

    static Settings settings() {
        Settings settings = two_instance_settings();
        settings.plans[0] = {.name = "plan", .rate = 10, .burst = 20, .excess_cost_factor = 1};
        settings.instance_count = 9;
        settings.rank = 8;
        return settings;
    }
    int reply_to(const SendPeerMessage& message) {
        EXPECT_TRUE(decode(message.bytes));
        const LeaseRequest request = lease_request_in(message);
        if (message.to == static_cast<int>(request.customer_hash % subset_size)) return 0;
        const LeaseGrant grant{
            .nonce = request.nonce, .units = request.required_units, .demand_rate = 1};
        const auto sent = actions_of<SendAttempt>(
            harness_.handle(PeerMessageReceived{message.to, encode({grant})}));
        for (const SendAttempt& attempt : sent)
            harness_.succeed(attempt.id, attempt.endpoint, 5ms);
        return static_cast<int>(sent.size());
    }

    EngineHarness harness_;
};
}  // namespace

TEST(LeaseClient, UnresponsiveOwnerIsReplacedByItsSuccessor) {
    UnresponsiveOwnerFleet fleet;
    int served_count = 0;
    for (RequestId id = 1; id <= 40; ++id)
        served_count += fleet.serve(id);
    EXPECT_EQ(served_count, 40);
}

TEST(LeaseClient, DuplicateGrantCountsOnce) {
    Settings settings = two_instance_settings();
    settings.rank = 1 - owner_rank(2);
    EngineHarness harness(settings);
    const Micros time_remaining = 5s;
    const auto requested = actions_of<SendPeerMessage>(
        harness.arrive({.id = 1, .time_remaining = time_remaining, .subset_size = 2}));
    ASSERT_EQ(requested.size(), 1u);
    const LeaseRequest request = lease_request_in(requested[0]);
    const std::string grant =
        encode({LeaseGrant{.nonce = request.nonce, .units = 1, .demand_rate = 1}});
    const PeerMessageReceived message{requested[0].to, grant};
    EXPECT_EQ(actions_of<SendAttempt>(harness.handle(message)).size(), 1u);
    EXPECT_TRUE(harness.handle(message).empty());
    // No units are left, so that the instance requests another lease.
    EXPECT_TRUE(actions_of<SendAttempt>(
                    harness.arrive({.id = 2, .time_remaining = time_remaining, .subset_size = 2}))
                    .empty());
}

TEST(LeaseClient, AcceptsAnySubsetSize) {
    for (const int subset_size : {0, 1, 2, 500}) {
        EngineHarness harness(two_instance_settings());
        harness.arrive({.id = 1, .subset_size = subset_size});
        harness.advance(2s);
        EXPECT_GE(actions_of<SendAttempt>(harness.actions).size(), 1u) << subset_size;
        // No endpoint responds.
        EXPECT_EQ(actions_of<RejectRequest>(harness.actions).size(), 1u) << subset_size;
    }
}

// With 64 instances the even share of the ceiling is less than one unit.
TEST(LeaseClient, CeilingGrantCoversItsRequestAboveTheLocalLimit) {
    LeaseHolderHarness holder(large_fleet);
    holder.settings.plans[0].ceiling_rate = 10;
    holder.settings.plans[0].ceiling_burst = 10;
    holder.instance = EngineHarness(holder.settings);
    const auto requests = lease_requests_to(holder.owner, holder.arrive(1));
    ASSERT_EQ(requests.size(), 1u);
    EXPECT_GT(requests[0].ceiling_units, 0.9);
    const auto caused_actions =
        holder.grant(requests[0], {.units = 1,
                                   .ceiling_units = requests[0].ceiling_units,
                                   .demand_rate = 1,
                                   .holder_count = 1});
    EXPECT_EQ(actions_of<SendAttempt>(caused_actions).size(), 1u);
}

TEST(StandingLease, RefillsWithoutFurtherGrants) {
    LeaseHolderHarness holder;
    RequestId last_id = holder.send_steady_load(steady_use_duration, 0, half_of_quota);
    for (int request = 0; request < 15; ++request) {  // half of the quota adds 20 units/s
        holder.instance.advance(100ms);
        EXPECT_EQ(holder.count_sent_immediately(last_id, 1), 1) << request;
    }
}

TEST(StandingLease, ExpiresWithoutRenewal) {
    LeaseHolderHarness holder(large_fleet);
    RequestId last_id = holder.send_steady_load(steady_use_duration, 0, half_of_quota);
    holder.instance.advance(2500ms);  // the lease expires in this time
    holder.count_sent_immediately(last_id, 1000);
    holder.instance.advance(1s);
    EXPECT_EQ(holder.count_sent_immediately(last_id, 20), 0);
}

TEST(StandingLease, IsNotEndedByASuccessorsGrant) {
    LeaseHolderHarness holder(3);
    RequestId last_id = holder.send_steady_load(steady_use_duration, 0, half_of_quota);
    const int successor = 3 - holder.owner - holder.settings.rank;
    holder.instance.handle(
        PeerMessageReceived{successor, encode({LeaseGrant{.nonce = 1, .demand_rate = 1}})});
    holder.instance.advance(500ms);
    EXPECT_GE(holder.count_sent_immediately(last_id, 8), 8);
}

TEST(StandingLease, RequestsOverTheQuotaAreRejectedWithoutWaitingForAGrant) {
    LeaseHolderHarness holder(2, 4, 4);
    RequestId last_id = holder.send_steady_load(steady_use_duration, 0, half_of_quota);
    holder.count_sent_immediately(last_id, 50);
    EXPECT_EQ(actions_of<RejectRequest>(holder.arrive(++last_id)).size(), 1u);
}

TEST(StandingLease, UnusedUnitsAreReturned) {
    LeaseHolderHarness holder;
    holder.send_steady_load(steady_use_duration, 0, half_of_quota);
    double returned_units = 0;
    for (const LeaseRequest& request : lease_requests_to(holder.owner, holder.instance.advance(2s)))
        returned_units += request.returned_units;
    EXPECT_GT(returned_units, 3);
}

TEST(StandingLease, IdleCustomerSendsFewLeaseRequestsToAnUnresponsiveOwner) {
    LeaseHolderHarness holder(large_fleet);
    holder.send_steady_load(steady_use_duration, 0, half_of_quota);
    const auto request_count = lease_requests_to(holder.owner, holder.instance.advance(10s)).size();
    EXPECT_GE(request_count, 1u);
    EXPECT_LE(request_count, 60u);
}
