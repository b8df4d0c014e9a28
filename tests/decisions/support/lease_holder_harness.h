// Drives one instance that does not own the quota of the default customer and obtains leases from
// the owner. The test acts as the owner.
#pragma once

#include <vector>

#include "decisions/quota/lease_codec.h"
#include "tests/decisions/support/engine_harness.h"

namespace silverreach::decision_tests {

// Rank of the instance that owns the default customer's quota.
int owner_rank(int instance_count);

// The lease requests in the messages to one peer.
std::vector<LeaseRequest> lease_requests_to(int peer, const std::vector<Action>& actions);
// The first lease request of a message; throws if the message does not begin with one.
LeaseRequest lease_request_in(const SendPeerMessage& message);

class LeaseHolderHarness {
  public:
    // `rate` in units per second and `burst` in units are the customer's quota.
    explicit LeaseHolderHarness(int instance_count = 2, double rate = 40, double burst = 400);

    std::vector<Action> arrive(RequestId id);
    // Answers a lease request; the nonce is filled in.
    std::vector<Action> grant(const LeaseRequest& request, LeaseGrant lease);
    // Sends ten requests per second. Grants each lease request all units that it asks for and a
    // standing lease of `standing_share` of the quota, 0 to 1. Returns the last request id.
    RequestId send_steady_load(Micros duration, RequestId last_id, double standing_share);
    // Sends `count` requests; returns how many attempts were sent immediately. Updates `last_id`.
    int count_sent_immediately(RequestId& last_id, int count);

    Settings settings;
    int owner;
    EngineHarness instance;
};

}  // namespace silverreach::decision_tests
