// Every request gets a final response by its deadline, and Retry-After is limited.
#include <gtest/gtest.h>

#include "tests/decisions/support/engine_harness.h"

using namespace silverreach;
using namespace silverreach::decision_tests;
using namespace std::chrono_literals;

TEST(AdmissionControl, RequestWithoutResponseIsEndedAtItsDeadline) {
    EngineHarness harness(single_instance_settings(), {make_endpoint("a")});
    harness.arrive({.id = 1, .time_remaining = 300ms});
    const auto caused = harness.advance(300ms);
    EXPECT_EQ(actions_of<RejectRequest>(caused).size() + actions_of<FailRequest>(caused).size(),
              1u);
}

TEST(AdmissionControl, RequestIsRejectedWithoutEndpoints) {
    EngineHarness harness(single_instance_settings(), {});
    harness.arrive({.id = 1});
    EXPECT_EQ(actions_of<RejectRequest>(harness.advance(2s)).size(), 1u);
}

TEST(AdmissionControl, RetryAfterDoesNotExceedTheMaximum) {
    Settings settings = single_instance_settings();
    settings.max_retry_after = 200ms;
    EngineHarness harness(settings);
    harness.advance(2s);
    for (RequestId id = 1; id <= 4; ++id)
        harness.arrive({.id = id});
    const auto rejected = actions_of<RejectRequest>(harness.arrive({.id = 5}));
    ASSERT_EQ(rejected.size(), 1u);
    EXPECT_EQ(rejected[0].retry_after, 200ms);
}
