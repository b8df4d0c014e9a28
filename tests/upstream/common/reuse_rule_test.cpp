#include "upstream/common/reuse_rule.h"

#include <gtest/gtest.h>

#include <chrono>
#include <vector>

using namespace silverreach;
using namespace silverreach::upstream;
using namespace std::chrono_literals;

namespace {
constexpr Micros now = 100s;

// A connection whose last exchange ended `ago`.
IdleConnection used(Micros ago) {
    return {now - ago, now - ago};
}
IdleConnection unused(Micros ago) {
    return {now - ago, std::nullopt};
}

struct Choice {
    ReuseSettings settings{.rest = 20ms, .max_resting = 3, .non_idempotent_limit = 1s};
    bool idempotent = true, may_open = true;

    std::optional<std::size_t> of(const std::vector<IdleConnection>& idle) const {
        return ReuseRule(settings).choose(
            idle.size(), [&](std::size_t i) { return idle[i]; }, idempotent, may_open, now);
    }
};
}  // namespace

TEST(ReuseRule, TheMostRecentConnectionThatHasRestedIsUsed) {
    EXPECT_EQ(Choice{}.of({used(5s), used(20ms), used(19ms)}), 1u);
    EXPECT_EQ(Choice{}.of({}), std::nullopt);
    EXPECT_EQ(Choice{}.of({used(19ms), used(0ms)}), std::nullopt);
}

TEST(ReuseRule, AConnectionWithoutAnExchangeNeedsNoRest) {
    EXPECT_EQ(Choice{}.of({used(5s), unused(0ms)}), 1u);
}

TEST(ReuseRule, AtALimitTheConnectionThatHasRestedLongestIsReusedEarly) {
    EXPECT_EQ(Choice{}.of({used(3ms), used(2ms), used(1ms)}), 0u) << "three are resting";
    EXPECT_EQ(Choice{.may_open = false}.of({used(2ms), used(1ms)}), 0u);
    EXPECT_EQ(Choice{.may_open = false}.of({}), std::nullopt);
}

TEST(ReuseRule, ANonIdempotentRequestUsesNoConnectionThatWasIdleForLong) {
    EXPECT_EQ(Choice{.idempotent = false}.of({used(1s), used(999ms)}), 1u);
    EXPECT_EQ(Choice{.idempotent = false}.of({used(1s), used(19ms)}), std::nullopt);
}
