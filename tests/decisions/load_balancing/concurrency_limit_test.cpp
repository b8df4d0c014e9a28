// Concurrency limits of endpoints, learned per plan from rejections.
#include <gtest/gtest.h>

#include <array>
#include <cstddef>
#include <map>
#include <string>

#include "tests/decisions/support/engine_harness.h"

using namespace silverreach;
using namespace silverreach::decision_tests;
using namespace std::chrono_literals;

TEST(ConcurrencyLimit, EndpointThatRejectsOnePlanKeepsTheOthers) {
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
            const bool rejected = plan == rejected_plan && endpoint == "a";
            sent = actions_of<SendAttempt>(
                harness.end_attempt({.id = id,
                                     .attempt = attempt,
                                     .endpoint = endpoint,
                                     .outcome = rejected ? Outcome::rejected : Outcome::success,
                                     .duration = 30ms}));
        }
    }
    EXPECT_LE(attempts[rejected_plan]["a"], 5);
    EXPECT_GT(attempts[accepted_plan]["a"], 30);
    EXPECT_TRUE(actions_of<RejectRequest>(harness.actions).empty());
}
