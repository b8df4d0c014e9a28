// When an endpoint's slow start began, derived from this instance's clock and the listed start
// time.
#include "decisions/load_balancing/slow_start_tracker.h"

#include <gtest/gtest.h>

#include <string>

using namespace silverreach;
using namespace std::chrono_literals;

namespace {
constexpr Micros instance_started_at = 1000h;  // wall time of this instance's start
EndpointEntry endpoint_started_at(const std::string& id, Micros started_at) {
    EndpointEntry entry;
    entry.id = id;
    entry.started_at = started_at;
    return entry;
}
}  // namespace

TEST(SlowStartTracker, InitialEndpointsKeepTheirReportedStartTime) {
    SlowStartTracker tracker(instance_started_at);
    EXPECT_EQ(tracker.record_entry(endpoint_started_at("a", 0us), instance_started_at), 0us);
    EXPECT_EQ(tracker.record_entry(endpoint_started_at("b", instance_started_at - 10min),
                                   instance_started_at),
              instance_started_at - 10min);
    EXPECT_EQ(tracker.record_entry(endpoint_started_at("c", instance_started_at + 1h),
                                   instance_started_at + 5ms),
              instance_started_at + 5ms)
        << "the start time is ahead of this instance's clock";
}

TEST(SlowStartTracker, EndpointListedLaterStartsNowRegardlessOfItsListedTime) {
    for (const Micros clock_error : {Micros(-1h), Micros(0), Micros(1h)}) {
        SlowStartTracker tracker(instance_started_at);
        tracker.record_entry(endpoint_started_at("a", 0us), instance_started_at);
        const Micros now = instance_started_at + 5s;
        EXPECT_EQ(tracker.record_entry(endpoint_started_at("b", now + clock_error), now), now);
        EXPECT_EQ(tracker.record_entry(endpoint_started_at("b", now + clock_error), now + 3s), now)
            << "a repeated entry does not restart it";
        EXPECT_EQ(tracker.record_entry(endpoint_started_at("c", 0us), now), 0us)
            << "the list says that it started long ago";
    }
}

TEST(SlowStartTracker, ChangedStartTimeRestartsSlowStart) {
    SlowStartTracker tracker(instance_started_at);
    tracker.record_entry(endpoint_started_at("a", 0us), instance_started_at);
    tracker.record_entry(endpoint_started_at("b", instance_started_at - 1h), instance_started_at);
    EXPECT_EQ(tracker.record_entry(endpoint_started_at("a", instance_started_at - 2h),
                                   instance_started_at + 100ms),
              instance_started_at + 100ms);
    EXPECT_EQ(tracker.record_entry(endpoint_started_at("b", instance_started_at - 2h),
                                   instance_started_at + 8s),
              instance_started_at + 8s);
}

TEST(SlowStartTracker, RemovedEndpointIsRememberedForTenMinutes) {
    SlowStartTracker tracker(instance_started_at);
    const Micros seen = instance_started_at + 5s;
    tracker.record_entry(endpoint_started_at("a", seen), seen);
    tracker.drop_expired(seen + 599s);
    EXPECT_EQ(tracker.record_entry(endpoint_started_at("a", seen), seen + 599s), seen);
    tracker.drop_expired(seen + 599s + 601s);
    EXPECT_EQ(tracker.record_entry(endpoint_started_at("a", seen), seen + 2000s), seen + 2000s);
}
