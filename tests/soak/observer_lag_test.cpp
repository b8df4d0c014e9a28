// Guards against a soak test that takes its own stall for a fault of the gateways.
#include "tests/soak/observer_lag.h"

#include <gtest/gtest.h>

using namespace soak;
using namespace std::chrono_literals;

TEST(ObserverLag, AStallCountsBeforeTheOverdueProbeRuns) {
    ObserverLag lag(5ms, 500ms);
    lag.on_probe(1000ms);
    EXPECT_EQ(lag.longest(1005ms), 0ms);
    EXPECT_EQ(lag.longest(1355ms), 350ms);
}

TEST(ObserverLag, AStallCountsForTheWindowAndNoLonger) {
    ObserverLag lag(5ms, 500ms);
    lag.on_probe(1000ms);
    lag.on_probe(1355ms);
    EXPECT_EQ(lag.longest(1356ms), 350ms);
    lag.on_probe(1360ms);
    lag.on_probe(1855ms);
    EXPECT_EQ(lag.longest(1856ms), 490ms) << "the longest of both";
    lag.on_probe(1856ms);
    lag.on_probe(2356ms);
    lag.on_probe(2361ms);
    EXPECT_EQ(lag.longest(2361ms), 495ms);
    for (Micros now = 2366ms; now <= 2900ms; now += 5ms)
        lag.on_probe(now);
    EXPECT_EQ(lag.longest(2900ms), 0ms);
}
