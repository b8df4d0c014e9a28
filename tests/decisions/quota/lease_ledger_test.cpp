// The owner's side of leases, without the rest of the engine.
#include "decisions/quota/lease_ledger.h"

#include <gtest/gtest.h>

#include <vector>

using namespace silverreach;
using namespace std::chrono_literals;

namespace {

constexpr int instance_count = 4;

Settings settings_for_rank(int rank) {
    Settings settings;
    settings.rank = rank;
    settings.instance_count = instance_count;
    settings.peer_messages_per_second = 1000;
    Plan plan;
    plan.rate = 100;
    plan.burst = 50;
    settings.plans = {plan};
    return settings;
}

// An instance with the context of its lease ledger. By default it owns the quota of the customer of
// its requests: the hash of the customer is the rank, and the subset contains all instances.
struct Owner {
    explicit Owner(int rank)
        : context(settings_for_rank(rank), Micros(1s)),
          terms(context.settings),
          ledger(context, terms) {
        context.begin_event(1s, actions);
    }

    LeaseRequest request(std::uint32_t nonce, double required_units, double demand_rate = 0) const {
        LeaseRequest request;
        request.nonce = nonce;
        request.customer_hash = static_cast<std::uint32_t>(context.settings.rank);
        request.subset_size = instance_count;
        request.required_units = required_units;
        request.demand_rate = demand_rate;
        return request;
    }

    std::vector<Action> actions;
    DecisionContext context;
    LeaseTerms terms;
    LeaseLedger ledger;
};

}  // namespace

TEST(LeaseLedger, GrantsRequiredUnitsOrReportsTheWait) {
    Owner owner(2);
    const LeaseGrant first = owner.ledger.grant(owner.request(11, 20), 0);
    EXPECT_EQ(first.nonce, 11U);
    EXPECT_EQ(first.units, 20);  // the pool starts with half of the burst
    EXPECT_EQ(first.wait_ms, 0U);
    EXPECT_EQ(first.holder_count, 1);
    const LeaseGrant second = owner.ledger.grant(owner.request(21, 10), 1);
    EXPECT_EQ(second.units, 0);
    EXPECT_EQ(second.wait_ms, 51U);  // 5 units at 100 units/s
    EXPECT_EQ(second.holder_count, 2);
    owner.context.now += 51ms;
    EXPECT_EQ(owner.ledger.grant(owner.request(23, 10), 1).units, 10);
}

TEST(LeaseLedger, StandingLeasesFollowDemandAfterOtherHoldersRenew) {
    Owner owner(2);
    const LeaseGrant first_holder_grant = owner.ledger.grant(owner.request(11, 0, 150), 0);
    EXPECT_NEAR(first_holder_grant.standing_share, 0.9, standing_share_step);
    const LeaseGrant early_grant = owner.ledger.grant(owner.request(21, 0, 50), 1);
    EXPECT_EQ(early_grant.demand_rate, 200);
    // The share of 0.9 may still be active at the other holder.
    EXPECT_NEAR(early_grant.standing_share, 0, standing_share_step);

    LeaseRequest renewal = owner.request(13, 0, 150);
    renewal.standing_share = first_holder_grant.standing_share;
    owner.context.now += 250ms;
    EXPECT_NEAR(owner.ledger.grant(renewal, 0).standing_share, 0.675, standing_share_step);
    renewal.nonce = 15;
    renewal.standing_share = 0.675;  // the larger lease is no longer active
    owner.context.now += 250ms;
    EXPECT_NEAR(owner.ledger.grant(renewal, 0).standing_share, 0.675, standing_share_step);
    const LeaseGrant second = owner.ledger.grant(owner.request(23, 0, 50), 1);
    EXPECT_NEAR(second.standing_share, 0.225, standing_share_step);
}

TEST(LeaseLedger, RepeatedRequestReturnsItsUnitsOnce) {
    Owner owner(2);
    owner.ledger.grant(owner.request(11, 25), 0);  // the complete pool
    LeaseRequest returning = owner.request(13, 0);
    returning.returned_units = 8;
    owner.ledger.grant(returning, 0);
    owner.ledger.grant(returning, 0);
    EXPECT_EQ(owner.ledger.grant(owner.request(21, 9), 1).units, 0);
    EXPECT_EQ(owner.ledger.grant(owner.request(23, 8), 1).units, 8);
}

TEST(LeaseLedger, SuccessorGrantsNoStandingLeaseAndReportsNoHolders) {
    Owner successor(3);
    LeaseRequest request = successor.request(11, 1, 100);
    request.customer_hash = 2;  // owned by instance 2
    const LeaseGrant grant = successor.ledger.grant(request, 0);
    EXPECT_EQ(grant.units, 1);
    EXPECT_EQ(grant.standing_share, 0);
    EXPECT_EQ(grant.holder_count, 0);
}

TEST(LeaseLedger, AcceptsOnlyKnownPlansAndValidSubsetSizes) {
    const Owner owner(2);
    LeaseRequest request = owner.request(11, 1);
    EXPECT_TRUE(owner.ledger.accepts(request));
    request.plan = 1;
    EXPECT_FALSE(owner.ledger.accepts(request));
    request.plan = 0;
    request.subset_size = instance_count + 1;
    EXPECT_FALSE(owner.ledger.accepts(request));
    request.subset_size = 0;
    EXPECT_FALSE(owner.ledger.accepts(request));
}
