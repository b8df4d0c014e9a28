// Which outcomes count as overload of the back end, and when it ends.
#include "decisions/admission/overload_detector.h"

#include <gtest/gtest.h>

#include <string>

#include "tests/decisions/support/engine_harness.h"

using namespace silverreach;
using namespace silverreach::decision_tests;
using namespace std::chrono_literals;

// Otherwise timeouts of removed endpoints would lower the limits of endpoints that respond.
TEST(OverloadDetector, TimeoutsOfUnresponsiveEndpointsAreNotOverload) {
    // More than a quarter of the latency objective, so that timeouts may indicate overload.
    constexpr Micros response_time = 210ms;
    constexpr Micros timeout = 500ms;
    Settings settings = single_instance_settings();
    settings.may_hedge = false;
    settings.may_cancel = false;
    EngineHarness harness(settings, make_endpoints('a', 'x'));
    RequestId last_id = 1000;
    int timeout_count = 0;
    const auto run = [&](int request_count, const std::string& first_unresponsive) {
        for (int request = 0; request < request_count; ++request) {
            const auto sent = actions_of<SendAttempt>(
                harness.arrive({.id = ++last_id, .units = 0, .plan = -1, .customer = "unlimited"}));
            ASSERT_EQ(sent.size(), 1u);
            const bool is_timeout = sent[0].endpoint >= first_unresponsive;
            const Micros duration = is_timeout ? timeout : response_time;
            timeout_count += is_timeout ? 1 : 0;
            harness.advance(duration);
            harness.end_attempt({.id = last_id,
                                 .endpoint = sent[0].endpoint,
                                 .outcome = is_timeout ? Outcome::timeout : Outcome::success,
                                 .duration = duration,
                                 .request_completed = is_timeout});
        }
    };
    run(60, "z");
    run(30, "i");  // two thirds of the endpoints do not respond
    ASSERT_GT(timeout_count, 10);
    // Without overload there is no pacing: all requests within a customer's burst are sent
    // immediately.
    int sent = 0;
    for (int request = 0; request < 2; ++request)
        sent += static_cast<int>(actions_of<SendAttempt>(harness.arrive({.id = ++last_id})).size());
    EXPECT_EQ(sent, 2);
}

TEST(OverloadDetector, OverloadEndsAtALowerShareOfSlowResponsesThanItBegins) {
    OverloadDetector detector;
    EXPECT_TRUE(detector.has_spare_capacity());
    const AttemptAssessment slow{.is_success = true, .is_slow = true};
    const AttemptAssessment fast{.is_success = true};
    int slow_count = 0;
    while (!detector.is_overloaded()) {
        ASSERT_LT(slow_count, 100);
        detector.on_outcome(slow);
        ++slow_count;
    }
    EXPECT_FALSE(detector.has_spare_capacity());
    detector.on_outcome(fast);
    EXPECT_TRUE(detector.is_overloaded()) << "one fast response does not end the overload";
    for (int response = 0; response < 10; ++response)
        detector.on_outcome(fast);
    EXPECT_FALSE(detector.is_overloaded());
    EXPECT_FALSE(detector.has_spare_capacity());
}

TEST(OverloadDetector, FailureWithoutASignOfOverloadDoesNotCount) {
    OverloadDetector detector;
    for (int attempt = 0; attempt < 100; ++attempt)
        detector.on_outcome({.is_slow = true});
    EXPECT_FALSE(detector.is_overloaded());
}
