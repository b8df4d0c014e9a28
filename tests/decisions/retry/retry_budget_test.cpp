#include "decisions/retry/retry_budget.h"

#include <gtest/gtest.h>

using namespace silverreach;
using namespace std::chrono_literals;

namespace {
int spend_all(RetryBudget& budget, Micros now) {
    constexpr int max_tries = 1000;
    int spent = 0;
    while (spent < max_tries && budget.try_spend(now))
        ++spent;
    return spent;
}
}  // namespace

TEST(RetryBudget, AllowsAFewRetriesWithoutTraffic) {
    RetryBudget budget;
    EXPECT_EQ(spend_all(budget, 1s), 5);
    EXPECT_EQ(spend_all(budget, 1s), 0);
}

TEST(RetryBudget, AllowsAShareOfTheFirstAttemptsAndRecovers) {
    RetryBudget budget;
    for (int request = 0; request < 100; ++request)
        budget.on_first_attempt(1s);
    EXPECT_EQ(spend_all(budget, 1s), 20);  // 15 of 100, and the minimum of 5
    EXPECT_EQ(spend_all(budget, 601s), 5);
}
