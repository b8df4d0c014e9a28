// The limiter without the engine. As Guava's SmoothWarmingUp, it stores 20 units, 10 of them above
// the threshold, with a stable interval of 0.1 s and a warm-up time of 2 s.
#include "decisions/quota/warming_up_limiter.h"

#include <gtest/gtest.h>

using namespace silverreach;
using namespace std::chrono_literals;

namespace {
constexpr double stable_s = 0.1;
constexpr double warmup_s = 2;

// Takes `units` and returns by how many seconds they delay the next ones.
double cost_s(WarmingUpLimiter& limiter, double units) {
    const Micros next_free_before = limiter.next_free();
    limiter.reserve(units, stable_s, warmup_s);
    return std::chrono::duration<double>(limiter.next_free() - next_free_before).count();
}
}  // namespace

TEST(WarmingUpLimiter, StartsColdAndGrantsTheFirstUnitWithoutDelay) {
    WarmingUpLimiter limiter;
    limiter.refill(5s, stable_s, warmup_s);
    EXPECT_EQ(limiter.next_free(), Micros(5s));
    EXPECT_NEAR(cost_s(limiter, 1), 0.29, 1e-5);  // the mean of 0.3 s and 0.28 s
}

TEST(WarmingUpLimiter, IsWarmOnceTheUnitsAboveTheThresholdAreUsed) {
    WarmingUpLimiter limiter;
    limiter.refill(5s, stable_s, warmup_s);
    EXPECT_NEAR(cost_s(limiter, 10), warmup_s, 1e-5);
    EXPECT_NEAR(cost_s(limiter, 10), 1, 1e-5);   // stored units below the threshold
    EXPECT_NEAR(cost_s(limiter, 5), 0.5, 1e-5);  // units that were not stored
}

TEST(WarmingUpLimiter, CoolsDownAgainWithinTheWarmupPeriod) {
    WarmingUpLimiter limiter;
    limiter.refill(5s, stable_s, warmup_s);
    limiter.reserve(20, stable_s, warmup_s);
    const Micros idle_from = limiter.next_free();
    limiter.refill(idle_from + 1s, stable_s, warmup_s);  // half of the store
    EXPECT_NEAR(cost_s(limiter, 1), stable_s, 1e-5);
    limiter.refill(idle_from + 10s, stable_s, warmup_s);
    EXPECT_NEAR(cost_s(limiter, 1), 0.29, 1e-5);
}
