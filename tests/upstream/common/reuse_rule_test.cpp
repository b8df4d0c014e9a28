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

constexpr ReuseSettings settings{
    .rest = 12ms, .max_resting_to_open = 2, .non_idempotent_limit = 1s};

struct Case {
    bool idempotent = true, may_open = true;
    std::size_t waiting_count = 0;

    std::optional<ReuseChoice> choose(const std::vector<IdleConnection>& idle) const {
        return ReuseRule(settings).choose({now, idle.size(), waiting_count, idempotent, may_open},
                                          [&](std::size_t i) { return idle[i]; });
    }
};

void expect_choice(const std::optional<ReuseChoice>& choice, std::size_t index, Micros wait) {
    ASSERT_TRUE(choice);
    EXPECT_EQ(choice->index, index);
    EXPECT_EQ(choice->wait, wait);
}
}  // namespace

TEST(ReuseRule, TheMostRecentConnectionThatHasRestedIsUsedAtOnce) {
    expect_choice(Case{}.choose({used(5s), used(12ms), used(11ms)}), 1, 0ms);
    EXPECT_FALSE(Case{}.choose({}));
}

TEST(ReuseRule, AConnectionWithoutAnExchangeNeedsNoRest) {
    expect_choice(Case{}.choose({used(5s), unused(0ms)}), 1, 0ms);
}

// Guards against late bytes that count as the response to the next request.
TEST(ReuseRule, WhereNoneHasRestedAnExchangeWaits) {
    expect_choice(Case{}.choose({used(1ms), used(5ms)}), 1, 7ms);
    expect_choice(Case{}.choose({used(3ms), used(2ms), used(1ms)}), 0, 9ms);
}

// Guards against the same at the limit of connections.
TEST(ReuseRule, NoConnectionIsChosenWithLessThanItsRest) {
    for (const bool may_open : {false, true})
        for (const bool idempotent : {false, true})
            for (const Micros ago : {0ms, 1ms, 6ms, 11ms, 12ms, 13ms}) {
                const Case rule{.idempotent = idempotent, .may_open = may_open};
                const auto choice = rule.choose({used(ago), used(ago)});
                ASSERT_TRUE(choice);
                EXPECT_GE(ago + choice->wait, settings.rest) << ago.count() << " us";
            }
}

TEST(ReuseRule, WhileFewAreRestingANewConnectionIsOpened) {
    EXPECT_FALSE(Case{}.choose({used(1ms)}));
    EXPECT_TRUE((Case{.may_open = false}.choose({used(1ms)})));
    EXPECT_TRUE((Case{.waiting_count = 1}.choose({used(1ms)})))
        << "one on which an exchange waits counts as resting";
}

TEST(ReuseRule, ANonIdempotentRequestUsesNoConnectionThatWasIdleForLong) {
    const Case rule{.idempotent = false};
    expect_choice(rule.choose({used(1s), used(999ms)}), 1, 0ms);
    EXPECT_FALSE(rule.choose({used(1s), used(11ms)}));
}
