// When an endpoint's slow start began, by this instance's clock and the reported start time.
#include "decisions/load_balancing/slow_start_tracker.h"

#include <gtest/gtest.h>

#include <string>

using namespace silverreach;
using namespace std::chrono_literals;

namespace {
constexpr Micros boot = 1000h;  // of this instance, by its wall clock
EndpointEntry endpoint_started_at(const std::string& id, Micros started_at) {
    EndpointEntry entry;
    entry.id = id;
    entry.started_at = started_at;
    return entry;
}
}  // namespace

TEST(SlowStartTracker, InitialEndpointsKeepTheirReportedStartTime) {
    SlowStartTracker tracker(boot);
    EXPECT_EQ(tracker.began(endpoint_started_at("a", 0us), boot), 0us);
    EXPECT_EQ(tracker.began(endpoint_started_at("b", boot - 10min), boot), boot - 10min);
    EXPECT_EQ(tracker.began(endpoint_started_at("c", boot + 1h), boot + 5ms), boot + 5ms)
        << "ahead of our clock";
}

TEST(SlowStartTracker, EndpointAddedLaterStartsNowWhateverItsClock) {
    for (const Micros clock_error : {Micros(-1h), Micros(0), Micros(1h)}) {
        SlowStartTracker tracker(boot);
        tracker.began(endpoint_started_at("a", 0us), boot);
        const Micros now = boot + 5s;
        EXPECT_EQ(tracker.began(endpoint_started_at("b", now + clock_error), now), now);
        EXPECT_EQ(tracker.began(endpoint_started_at("b", now + clock_error), now + 3s), now)
            << "a repeated entry does not restart it";
        EXPECT_EQ(tracker.began(endpoint_started_at("c", 0us), now), 0us)
            << "started long ago, as it reports";
    }
}

TEST(SlowStartTracker, ChangedStartTimeRestartsSlowStart) {
    SlowStartTracker tracker(boot);
    tracker.began(endpoint_started_at("a", 0us), boot);
    tracker.began(endpoint_started_at("b", boot - 1h), boot);
    EXPECT_EQ(tracker.began(endpoint_started_at("a", boot - 2h), boot + 100ms), boot + 100ms);
    EXPECT_EQ(tracker.began(endpoint_started_at("b", boot - 2h), boot + 8s), boot + 8s);
}

TEST(SlowStartTracker, RemovedEndpointIsRememberedForTenMinutes) {
    SlowStartTracker tracker(boot);
    const Micros seen = boot + 5s;
    tracker.began(endpoint_started_at("a", seen), seen);
    tracker.forget_old(seen + 599s);
    EXPECT_EQ(tracker.began(endpoint_started_at("a", seen), seen + 599s), seen);
    tracker.forget_old(seen + 599s + 601s);
    EXPECT_EQ(tracker.began(endpoint_started_at("a", seen), seen + 2000s), seen + 2000s);
}
