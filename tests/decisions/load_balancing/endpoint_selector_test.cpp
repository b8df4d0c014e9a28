// The endpoints to which an instance sends attempts.
#include <gtest/gtest.h>

#include <map>
#include <string>
#include <vector>

#include "tests/decisions/support/engine_harness.h"

using namespace silverreach;
using namespace silverreach::decision_tests;
using namespace std::chrono_literals;

TEST(EndpointSelector, DrainingEndpointGetsNoAttempt) {
    EngineHarness harness(single_instance_settings());
    harness.handle(EndpointsChanged{false, {make_endpoint("a", EndpointStatus::draining)}});
    for (RequestId id = 1; id <= 2; ++id) {
        const auto sent = actions_of<SendAttempt>(harness.arrive({.id = id}));
        ASSERT_EQ(sent.size(), 1u);
        EXPECT_EQ(sent[0].endpoint, "b");
    }
}

// Without a subset, each of hundreds of instances would keep connections to every endpoint.
TEST(EndpointSelector, InstanceUsesAStableSubset) {
    constexpr int endpoint_count = 100;
    std::vector<EndpointEntry> endpoints;
    endpoints.reserve(endpoint_count);
    for (int index = 0; index < endpoint_count; ++index)
        endpoints.push_back(make_endpoint(std::string("h").append(std::to_string(index))));
    EngineHarness harness(without_rate_quota(single_instance_settings()), endpoints);
    std::map<std::string, int> attempts_by_endpoint;
    for (RequestId id = 1; id <= 500; ++id) {
        for (const SendAttempt& attempt : actions_of<SendAttempt>(harness.arrive({.id = id}))) {
            ++attempts_by_endpoint[attempt.endpoint];
            harness.succeed(id, attempt.endpoint, 20ms);
        }
        harness.advance(10ms);
    }
    EXPECT_LE(attempts_by_endpoint.size(), 40u);
    EXPECT_GE(attempts_by_endpoint.size(), 20u);
}
