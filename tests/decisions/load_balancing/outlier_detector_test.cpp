// When an endpoint is ejected, and when it is avoided for a plan or a request class.
#include "decisions/load_balancing/outlier_detector.h"

#include <gtest/gtest.h>

#include <array>
#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "tests/decisions/support/engine_harness.h"

using namespace silverreach;
using namespace silverreach::decision_tests;
using namespace std::chrono_literals;

namespace {
Settings settings_with_ample_quota() {
    Settings settings = single_instance_settings();
    settings.plans = {{.name = "plan", .rate = 1000, .burst = 1000}};
    return settings;
}

std::size_t count_sent(EngineHarness& harness, RequestId id) {
    return actions_of<SendAttempt>(harness.arrive({.id = id})).size();
}

void fail_attempt(EngineHarness& harness, RequestId id, Outcome outcome) {
    harness.end_attempt({.id = id,
                         .endpoint = "a",
                         .outcome = outcome,
                         .duration = 1ms,
                         .request_completed = true});
}

// Sends 20 requests/s of each of two classes to the endpoints "a" and "b". Endpoint "a" leaves
// every request of class "put" unanswered; all other requests succeed in 40 ms.
class TwoClassLoad {
  public:
    TwoClassLoad() : harness_(settings(), make_endpoints('a', 'b')) {}
    void run(Micros duration) {
        puts.clear();
        reads.clear();
        for (const Micros until = harness_.now + duration; harness_.now < until;) {
            for (int request = 0; request < 2; ++request, ++next_id_)
                carry_out(harness_.arrive({.id = next_id_, .request_class = class_of(next_id_)}));
            for (int step = 0; step < 5; ++step) {
                cancel_attempts(harness_.advance(10ms));
                end_due_attempts();
            }
        }
    }

    std::map<std::string, int> puts;  // attempts in the last run, by endpoint
    std::map<std::string, int> reads;

  private:
    static constexpr int put_class = 1;
    static constexpr Micros response_time = 40ms;
    static constexpr Micros timeout = 1990ms;
    static constexpr Micros cancelled_after = 440ms;

    static Settings settings() {
        Settings settings = settings_with_ample_quota();
        settings.may_hedge = false;
        settings.classes.push_back({.name = "put",
                                    .idempotency = Idempotency::idempotency_key,
                                    .latency_objective = 800ms,
                                    .deadline = 2s,
                                    .deduplication_window = 3s});
        return settings;
    }
    static int class_of(RequestId id) { return static_cast<int>(id % 2); }

    void carry_out(const std::vector<Action>& actions) {
        for (const SendAttempt& attempt : actions_of<SendAttempt>(actions)) {
            const bool is_put = class_of(attempt.id) == put_class;
            const bool is_unanswered = is_put && attempt.endpoint == "a";
            const Micros duration = is_unanswered ? timeout : response_time;
            ++(is_put ? puts : reads)[attempt.endpoint];
            outstanding_.emplace(
                harness_.now + duration,
                AttemptEnded{.id = attempt.id,
                             .endpoint = attempt.endpoint,
                             .outcome = is_unanswered ? Outcome::timeout : Outcome::success,
                             .duration = duration});
        }
    }
    void cancel_attempts(const std::vector<Action>& actions) {
        for (const CancelAttempt& cancel : actions_of<CancelAttempt>(actions)) {
            std::erase_if(outstanding_,
                          [&](const auto& entry) { return entry.second.id == cancel.id; });
            carry_out(harness_.end_attempt({.id = cancel.id,
                                            .attempt = cancel.attempt,
                                            .endpoint = "a",
                                            .outcome = Outcome::cancelled,
                                            .duration = cancelled_after}));
        }
    }
    void end_due_attempts() {
        while (!outstanding_.empty() && outstanding_.begin()->first <= harness_.now) {
            const AttemptEnded ended = outstanding_.begin()->second;
            outstanding_.erase(outstanding_.begin());
            carry_out(harness_.end_attempt(ended));
        }
    }

    EngineHarness harness_;
    RequestId next_id_ = 1;
    std::multimap<Micros, AttemptEnded> outstanding_;  // by the time at which they end
};
}  // namespace

// Up to one connection in ten may break although its endpoint serves all other connections.
TEST(OutlierDetector, EjectsAfterThreeResetsInARowOrOneFailedConnect) {
    EngineHarness harness(settings_with_ample_quota(), {make_endpoint("a")});
    for (RequestId id = 1; id <= 5; ++id) {
        ASSERT_EQ(count_sent(harness, 2 * id), 1u) << id;
        harness.succeed(2 * id, "a", 50ms);
        ASSERT_EQ(count_sent(harness, 2 * id + 1), 1u) << id;
        fail_attempt(harness, 2 * id + 1, Outcome::reset);
        harness.advance(10ms);
    }
    for (RequestId id = 20; id < 23; ++id) {
        EXPECT_EQ(count_sent(harness, id), id < 22 ? 1u : 0u)
            << "with the reset before them, the third in a row ejects the endpoint";
        fail_attempt(harness, id, Outcome::reset);
    }
    EngineHarness unreachable(settings_with_ample_quota(), {make_endpoint("a")});
    unreachable.arrive({.id = 1});
    fail_attempt(unreachable, 1, Outcome::connect_failed);
    EXPECT_EQ(count_sent(unreachable, 2), 0u) << "one failed connect ejects the endpoint";
}

TEST(OutlierDetector, EndpointThatLeavesOneClassUnansweredIsAvoidedForThatClassOnly) {
    TwoClassLoad load;
    load.run(5s);
    load.run(15s);
    EXPECT_LE(load.puts["a"], 2);
    EXPECT_GT(load.puts["b"], 280);
    EXPECT_GT(load.reads["a"], 120) << "the endpoint still gets reads, and more of them";
}

TEST(OutlierDetector, EndpointThatRejectsOnePlanIsAvoidedForThatPlanOnly) {
    constexpr int rejected_plan = 0;
    constexpr int accepted_plan = 1;
    Settings settings = single_instance_settings();
    settings.plans = {{.name = "rejected", .excess_cost_factor = 1},
                      {.name = "accepted", .excess_cost_factor = 1}};
    EngineHarness harness(settings, make_endpoints('a', 'c'));
    std::array<std::map<std::string, int>, 2> attempts;  // by plan and endpoint
    for (RequestId id = 1; id <= 300; ++id) {
        harness.advance(20ms);
        const int plan = id % 2 == 1 ? rejected_plan : accepted_plan;
        auto sent = actions_of<SendAttempt>(harness.arrive({.id = id, .plan = plan}));
        for (int attempt = 0; !sent.empty() && attempt < 3; ++attempt) {
            const std::string endpoint = sent[0].endpoint;
            ++attempts.at(static_cast<std::size_t>(plan))[endpoint];
            const bool is_rejected = plan == rejected_plan && endpoint == "a";
            sent = actions_of<SendAttempt>(
                harness.end_attempt({.id = id,
                                     .attempt = attempt,
                                     .endpoint = endpoint,
                                     .outcome = is_rejected ? Outcome::rejected : Outcome::success,
                                     .duration = 30ms}));
        }
    }
    EXPECT_LE(attempts[rejected_plan]["a"], 5);
    EXPECT_GT(attempts[accepted_plan]["a"], 30);
    EXPECT_TRUE(actions_of<RejectRequest>(harness.actions).empty());
}

TEST(OutlierDetector, EjectionTimeDoublesUntilASuccess) {
    DecisionContext context(single_instance_settings(), engine_start);
    context.now = engine_start;
    const OutlierDetector detector(context);
    Endpoint endpoint;
    detector.eject(endpoint);
    EXPECT_EQ(endpoint.ejected_until, context.now + 500ms);
    context.now = endpoint.ejected_until;
    EXPECT_FALSE(detector.is_ejected(endpoint));
    detector.eject(endpoint);
    EXPECT_EQ(endpoint.ejected_until, context.now + 1s);
    context.now = endpoint.ejected_until;
    detector.on_outcome(endpoint, Outcome::success, {.is_success = true});
    detector.eject(endpoint);
    EXPECT_EQ(endpoint.ejected_until, context.now + 500ms);
}

TEST(OutlierDetector, AvoidsAClassAfterTwoOverdueAttemptsInARow) {
    constexpr int request_class = 0;
    constexpr int other_class = 1;
    DecisionContext context(single_instance_settings(), engine_start);
    context.now = engine_start;
    const OutlierDetector detector(context);
    Endpoint endpoint;
    detector.on_class_overdue(endpoint, request_class);
    OutlierDetector::on_success(endpoint, request_class);
    detector.on_class_overdue(endpoint, request_class);
    EXPECT_FALSE(detector.avoids_class(endpoint, request_class));
    detector.on_class_overdue(endpoint, request_class);
    EXPECT_TRUE(detector.avoids_class(endpoint, request_class));
    EXPECT_FALSE(detector.avoids_class(endpoint, other_class));
    context.now += 20s;
    EXPECT_FALSE(detector.avoids_class(endpoint, request_class));
}
