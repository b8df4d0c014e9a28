// Requests that are queued because every endpoint is at its concurrency limit.
#include <gtest/gtest.h>

#include "tests/decisions/support/engine_harness.h"

using namespace silverreach;
using namespace silverreach::decision_tests;
using namespace std::chrono_literals;

namespace {
// Sends requests until one is queued; returns that one's id.
RequestId fill_endpoints(EngineHarness& harness) {
    RequestId id = 1;
    while (!actions_of<SendAttempt>(harness.arrive({.id = id})).empty())
        ++id;
    return id;
}
}  // namespace

// In order of arrival, every request of a long queue would be sent at its last moment.
TEST(AdmissionQueue, DispatchesTheNewestRequestFirst) {
    EngineHarness harness(
        without_rate_quota(single_instance_settings()),
        {make_endpoint("a"), make_endpoint("b"), make_endpoint("c", EndpointStatus::draining),
         make_endpoint("d", EndpointStatus::draining)});
    const RequestId newest = fill_endpoints(harness) + 1;  // the queue takes two more
    harness.arrive({.id = newest});
    const auto sent = actions_of<SendAttempt>(harness.succeed(1, "a", 20ms));
    ASSERT_GE(sent.size(), 1u);
    EXPECT_EQ(sent[0].id, newest);
}

TEST(AdmissionQueue, RejectsTheOldestRequestWhenFull) {
    EngineHarness harness(without_rate_quota(single_instance_settings()), {make_endpoint("a")});
    const RequestId oldest = fill_endpoints(harness);
    const auto caused = harness.arrive({.id = oldest + 1});
    ASSERT_EQ(actions_of<RejectRequest>(caused).size(), 1u);
    EXPECT_EQ(actions_of<RejectRequest>(caused)[0].id, oldest);
}
