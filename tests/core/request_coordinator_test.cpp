#include "core/request_coordinator.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "tests/core/fake_environment.h"

using namespace silverreach;
using namespace silverreach::core;
using namespace std::chrono_literals;

namespace {
constexpr Micros request_timeout = 1s;

Settings test_settings(Idempotency idempotency = Idempotency::idempotent) {
    Settings settings;
    settings.classes = {{.name = "read",
                         .idempotency = idempotency,
                         .latency_objective = 400ms,
                         .deadline = request_timeout,
                         .deduplication_window = 3s}};
    settings.plans = {{.name = "plan", .rate = 100, .burst = 100}};
    settings.max_attempts = 3;
    settings.may_hedge = true;
    settings.may_cancel = true;
    settings.may_send_retry_after = true;
    settings.timer_tick = 4ms;
    return settings;
}
}  // namespace

TEST(RequestCoordinator, FirstResponseIsForwardedOnceAndTheRequestErased) {
    FakeEnvironment environment(test_settings());
    const RequestId id = environment.start_request();
    ASSERT_EQ(environment.sent.size(), 1u);
    EXPECT_TRUE(environment.start_response(environment.sent[0], 5ms));
    EXPECT_FALSE(environment.start_response(environment.sent[0], 5ms));
    environment.end_response(id);
    EXPECT_EQ(environment.coordinator.in_flight(), 0u);
    environment.advance(3s);
    EXPECT_TRUE(environment.finished.empty());
    EXPECT_EQ(environment.coordinator.counters().served, 1u);
}

TEST(RequestCoordinator, LaterResponseOfAHedgedRequestIsDiscarded) {
    FakeEnvironment environment(test_settings());
    for (int request = 0; request < 30; ++request) {  // so that the engine learns the response time
        const RequestId id = environment.start_request();
        const auto sent = environment.sent.back();
        environment.advance(5ms);
        ASSERT_TRUE(environment.start_response(sent, 5ms));
        environment.end_response(id);
    }
    environment.sent.clear();
    const RequestId id = environment.start_request();
    environment.advance(300ms);
    ASSERT_GE(environment.sent.size(), 2u) << "an unresponsive endpoint causes a hedged request";
    EXPECT_EQ(environment.sent[1].key.attempt, 1);
    EXPECT_TRUE(environment.start_response(environment.sent[1], 5ms));
    for (const auto& sent : environment.sent)
        EXPECT_FALSE(environment.start_response(sent, 300ms));
    environment.end_response(id);
    EXPECT_EQ(environment.coordinator.in_flight(), 0u);
}

TEST(RequestCoordinator, UnansweredRequestGetsOneFinalResponseBeforeItsDeadline) {
    for (const Idempotency idempotency :
         {Idempotency::idempotent, Idempotency::idempotency_key, Idempotency::non_idempotent}) {
        FakeEnvironment environment(test_settings(idempotency));
        environment.start_request();
        environment.advance(request_timeout - 1ms);
        ASSERT_EQ(environment.finished.size(), 1u) << static_cast<int>(idempotency);
        const FinalResponse& response = environment.finished[0].response;
        EXPECT_EQ(response.rejected, idempotency == Idempotency::idempotent);
        if (idempotency != Idempotency::idempotent) {
            EXPECT_EQ(response.failure_reason, FailureReason::timed_out);
        }
        environment.advance(2s);
        EXPECT_EQ(environment.finished.size(), 1u);
        EXPECT_EQ(environment.coordinator.in_flight(), 0u) << "attempts end as timed out";
        EXPECT_EQ(environment.cancelled.size(), environment.sent.size());
    }
}

TEST(RequestCoordinator, NonIdempotentRequestThatMayHaveRunIsNotRetried) {
    FakeEnvironment environment(test_settings(Idempotency::non_idempotent));
    environment.start_request();
    ASSERT_EQ(environment.sent.size(), 1u);
    environment.fail_attempt(environment.sent[0], Outcome::reset, 1ms);
    EXPECT_EQ(environment.sent.size(), 1u);
    ASSERT_EQ(environment.finished.size(), 1u);
    EXPECT_FALSE(environment.finished[0].response.rejected);
    EXPECT_EQ(environment.finished[0].response.failure_reason, FailureReason::bad_response);
}

TEST(RequestCoordinator, FailureReportedDuringSendIsQueuedNotNested) {
    FakeEnvironment environment(test_settings());
    environment.on_send = [&](const FakeEnvironment::SentAttempt& sent) {
        environment.fail_attempt(sent, Outcome::connect_failed, 0us);
    };
    environment.start_request();
    EXPECT_GT(environment.sent.size(), 1u);
    EXPECT_LE(environment.sent.size(), 3u) << "no more than max_attempts";
    environment.advance(request_timeout);
    EXPECT_EQ(environment.finished.size(), 1u);
    EXPECT_EQ(environment.coordinator.in_flight(), 0u);
}

TEST(RequestCoordinator, StreamedResponseIsAbortedAtTheDeadline) {
    FakeEnvironment environment(test_settings());
    const RequestId id = environment.start_request(300ms);
    ASSERT_TRUE(environment.start_response(environment.sent[0], 5ms));
    environment.advance(299ms);
    EXPECT_TRUE(environment.aborted.empty());
    environment.advance(2ms);
    EXPECT_EQ(environment.aborted, std::vector<RequestId>{id});
    EXPECT_EQ(environment.cancelled, std::vector<AttemptKey>{environment.sent[0].key})
        << "the attempt is cancelled at the endpoint as well";
    environment.end_response(id);
    EXPECT_TRUE(environment.finished.empty());
    EXPECT_EQ(environment.coordinator.counters().aborted, 1u);
    EXPECT_EQ(environment.coordinator.in_flight(), 0u);
}

TEST(RequestCoordinator, NoAttemptIsSentAfterTheClientDisconnects) {
    FakeEnvironment environment(test_settings());
    const RequestId id = environment.start_request();
    environment.coordinator.on_client_disconnected(environment.now, id);
    environment.fail_attempt(environment.sent[0], Outcome::rejected, 1ms);
    environment.advance(2s);
    EXPECT_EQ(environment.sent.size(), 1u);
    EXPECT_TRUE(environment.finished.empty());
    EXPECT_EQ(environment.coordinator.in_flight(), 0u);
}

TEST(RequestCoordinator, UnsentAttemptIsWithdrawnWhenItsRequestCompletes) {
    FakeEnvironment environment(test_settings());
    environment.attempts_wait_for_connection = true;
    const RequestId id = environment.start_request();
    ASSERT_EQ(environment.sent.size(), 1u);
    environment.coordinator.on_client_disconnected(environment.now, id);
    ASSERT_EQ(environment.withdrawn.size(), 1u);
    EXPECT_EQ(environment.withdrawn[0].request, id);
    EXPECT_EQ(environment.coordinator.in_flight(), 0u) << "no attempt is in flight";
    EXPECT_EQ(environment.sent.size(), 1u) << "and it is not retried";
}

TEST(RequestCoordinator, RejectionsCarryTheirReason) {
    Settings settings = test_settings();
    settings.plans = {{.name = "plan", .rate = 1, .burst = 2}};
    FakeEnvironment rate_limited(settings);
    for (int request = 0; request < 6; ++request)
        rate_limited.start_request();
    ASSERT_FALSE(rate_limited.finished.empty());
    const FinalResponse& quota_response = rate_limited.finished[0].response;
    EXPECT_TRUE(quota_response.rejected);
    EXPECT_EQ(quota_response.reject_reason, RejectReason::quota_exhausted);
    EXPECT_GT(quota_response.retry_after, 0us);
    FakeEnvironment without_endpoints(test_settings());
    without_endpoints.coordinator.on_endpoints_changed(without_endpoints.now, {true, {}});
    without_endpoints.start_request();
    without_endpoints.advance(request_timeout);
    ASSERT_EQ(without_endpoints.finished.size(), 1u);
    EXPECT_EQ(without_endpoints.finished[0].response.reject_reason, RejectReason::no_endpoint);
}

TEST(RequestCoordinator, SameEventsGiveTheSameActions) {
    const auto run = [] {
        FakeEnvironment environment(test_settings());
        std::string log;
        for (int request = 0; request < 200; ++request) {
            const RequestId id = environment.start_request();
            const auto sent = environment.sent.back();
            log += sent.endpoint;
            if (request % 3 == 0)
                environment.fail_attempt(sent, Outcome::error, 2ms);
            else if (environment.start_response(sent, 4ms))
                environment.end_response(id);
            environment.advance(7ms);
        }
        return log + std::to_string(environment.finished.size());
    };
    EXPECT_EQ(run(), run());
}
