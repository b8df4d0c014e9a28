// When a slow start began, by our clock and by what was told.
#include "decisions/load_balancing/slow_start_tracker.h"

#include <gtest/gtest.h>

using namespace silverreach;
using namespace std::chrono_literals;

namespace {
constexpr Micros boot = 1000h;  // of the gateway, by its own wall clock
EndpointEntry told(const std::string& name, Micros started) {
    EndpointEntry entry;
    entry.id = name;
    entry.started_at = started;
    return entry;
}
}  // namespace

TEST(SlowStartTracker, WhatWasThereFirstIsAsOldAsTheWallClockSays) {
    SlowStartTracker starts(boot);
    EXPECT_EQ(starts.began(told("a", 0us), boot), 0us);
    EXPECT_EQ(starts.began(told("b", boot - 10min), boot), boot - 10min);
    EXPECT_EQ(starts.began(told("c", boot + 1h), boot + 5ms), boot + 5ms) << "ahead of our clock";
}

TEST(SlowStartTracker, WhatAppearsLaterHasStartedNowWhateverClocksSay) {
    for (const Micros off : {Micros(-1h), Micros(0), Micros(1h)}) {
        SlowStartTracker starts(boot);
        starts.began(told("a", 0us), boot);
        const Micros now = boot + 5s;
        EXPECT_EQ(starts.began(told("b", now + off), now), now);
        EXPECT_EQ(starts.began(told("b", now + off), now + 3s), now) << "told again it goes on";
        EXPECT_EQ(starts.began(told("c", 0us), now), 0us) << "long past, by its own word";
    }
}

TEST(SlowStartTracker, AChangedStartTimeIsAStart) {
    SlowStartTracker starts(boot);
    starts.began(told("a", 0us), boot);
    starts.began(told("b", boot - 1h), boot);
    EXPECT_EQ(starts.began(told("a", boot - 2h), boot + 100ms), boot + 100ms);
    EXPECT_EQ(starts.began(told("b", boot - 2h), boot + 8s), boot + 8s);
}

TEST(SlowStartTracker, AHostThatWasOnlyOutOfTheListIsKnownAgainForAWhile) {
    SlowStartTracker starts(boot);
    const Micros seen = boot + 5s;
    starts.began(told("a", seen), seen);
    starts.forget_old(seen + 599s);
    EXPECT_EQ(starts.began(told("a", seen), seen + 599s), seen);
    starts.forget_old(seen + 599s + 601s);
    EXPECT_EQ(starts.began(told("a", seen), seen + 2000s), seen + 2000s);
}
