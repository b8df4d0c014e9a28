// Quota leases from the owner's side, through the complete engine.
#include <gtest/gtest.h>

#include <variant>

#include "decisions/quota/lease_codec.h"
#include "tests/decisions/support/lease_holder_harness.h"

using namespace silverreach;
using namespace silverreach::decision_tests;

TEST(LeaseOwner, DuplicateLeaseRequestReturnsItsUnitsOnce) {
    Settings settings = two_instance_settings();
    settings.rank = owner_rank(2);
    settings.plans[0].rate = 0.001;
    settings.plans[0].burst = 100;
    EngineHarness owner(settings);
    const auto granted_units = [&](const LeaseRequest& request) {
        const auto replies = actions_of<SendPeerMessage>(
            owner.handle(PeerMessageReceived{1 - settings.rank, encode({request})}));
        if (replies.empty()) return -1.0;
        return std::get<LeaseGrant>(decode(replies[0].bytes)->at(0)).units;
    };
    LeaseRequest request{
        .nonce = 11, .customer_hash = hash_name(default_customer), .plan = 0, .subset_size = 2};
    request.required_units = 50;
    ASSERT_EQ(granted_units(request), 50);  // half of the burst, the complete pool of a new owner
    request.nonce = 13;
    request.required_units = 0;
    request.returned_units = 10;
    for (int copy = 0; copy < 3; ++copy)
        granted_units(request);
    request.nonce = 15;
    request.required_units = 11;
    request.returned_units = 0;
    EXPECT_EQ(granted_units(request), 0);
    request.nonce = 17;
    request.required_units = 9.5;
    EXPECT_EQ(granted_units(request), 9.5);
}
