// The limit on customers whose quota state is kept, under requests of ever new customers.
#include <gtest/gtest.h>

#include "tests/decisions/support/engine_harness.h"

using namespace silverreach;
using namespace silverreach::decision_tests;
using namespace std::chrono_literals;

namespace {
constexpr std::size_t max_customers = 8;
constexpr int crowd_size = 200;
constexpr double burst = 4;

// Plans that do not refill within a test, so that no state may be dropped.
Settings limited_settings() {
    Settings settings = single_instance_settings();
    settings.plans = {{.name = "rate", .rate = 1e-6, .burst = burst, .excess_cost_factor = 1},
                      {.name = "ceiling",
                       .rate = 1000,
                       .burst = 1000,
                       .excess_cost_factor = 1,
                       .ceiling_rate = 1e-6,
                       .ceiling_burst = burst}};
    settings.max_customers = max_customers;
    return settings;
}

class Crowd {
  public:
    explicit Crowd(const Settings& settings) : harness(settings) {}
    // Sends one request and completes it; returns whether it was admitted.
    bool ask(const std::string& customer, int plan = 0) {
        const RequestId id = ++last_id_;
        const auto sent =
            actions_of<SendAttempt>(harness.arrive({.id = id, .plan = plan, .customer = customer}));
        if (sent.empty()) return false;
        harness.succeed(id, sent[0].endpoint, 1ms);
        return true;
    }
    int admitted_of_new_customers(int plan = 0) {
        int admitted = 0;
        for (int i = 0; i < crowd_size; ++i)
            admitted += ask("new-" + std::to_string(++last_new_), plan) ? 1 : 0;
        return admitted;
    }

    EngineHarness harness;

  private:
    RequestId last_id_ = 0;
    int last_new_ = 0;
};
}  // namespace

// Guards against state that grows with every new name: beyond the limit names share one quota.
TEST(CustomerLimit, CustomersBeyondTheLimitShareOneQuota) {
    Crowd crowd(limited_settings());
    const int admitted = crowd.admitted_of_new_customers();
    EXPECT_GE(admitted, static_cast<int>(max_customers));
    EXPECT_LE(admitted, static_cast<int>(max_customers + burst));
}

// Guards against a limit that gives a customer its quota again once its state has been dropped.
TEST(CustomerLimit, ACrowdGivesNoCustomerItsQuotaAgain) {
    for (const int plan : {0, 1}) {
        Crowd crowd(limited_settings());
        int admitted = 0;
        for (int i = 0; i < 10; ++i)
            admitted += crowd.ask("known", plan) ? 1 : 0;
        EXPECT_LE(admitted, burst) << "plan " << plan;
        for (int round = 0; round < 5; ++round) {
            crowd.admitted_of_new_customers(plan);
            crowd.harness.advance(1s);
            admitted += crowd.ask("known", plan) ? 1 : 0;
        }
        EXPECT_LE(admitted, burst) << "plan " << plan;
    }
}

TEST(CustomerLimit, RefilledCustomersMakeRoomForNewOnes) {
    Settings settings = limited_settings();
    settings.plans[0].rate = 1000;
    Crowd crowd(settings);
    EXPECT_LT(crowd.admitted_of_new_customers(), crowd_size) << "the limit applies at once";
    crowd.harness.advance(2s);
    int admitted = 0;
    for (int i = 0; i < 4; ++i)
        admitted += crowd.ask("later") ? 1 : 0;
    EXPECT_EQ(admitted, 4);
}
