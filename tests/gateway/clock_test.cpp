// A step of the wall clock while the gateway runs does not change how long keys are accepted.
#include <stdlib.h>

#include "tests/gateway/key_registry.h"
#include "tests/support/fault_injection.h"

using namespace key_test;

namespace {
// The fault table of this process: the fault injection is linked into this test.
faults::SharedFaultTable& fault_table() {
    static faults::SharedFaultTable shared_table;
    ::setenv(faults::table_variable, shared_table.file().c_str(), 1);
    return shared_table;
}
}  // namespace

TEST(WallClock, AStepEndsNoKeyBeforeItsCutoff) {
    fault_table()->wall_clock_offset_us = 0;
    KeyRegistry keys;
    const std::string key = keys.issue("birds", now() + UnixTime(600'000));
    TestGateway gateway(keys.options());
    EXPECT_EQ(status(gateway.exchange(request_with(key))), 200);
    fault_table()->wall_clock_offset_us = 3'600'000'000;
    EXPECT_EQ(status(gateway.exchange(request_with(key))), 200)
        << "the wall clock is an hour ahead";
    fault_table()->wall_clock_offset_us = 0;
    EXPECT_EQ(status(gateway.exchange(request_with(key))), 200)
        << "the wall clock is back at the true time";
}

TEST(WallClock, AStepBackServesNoKeyAfterItsCutoff) {
    fault_table()->wall_clock_offset_us = 0;
    KeyRegistry keys;
    const std::string key = keys.issue("birds", now() + UnixTime(1'000));
    TestGateway gateway(keys.options());
    EXPECT_EQ(status(gateway.exchange(request_with(key))), 200);
    fault_table()->wall_clock_offset_us = -3'600'000'000;
    gateway.run_for(1100ms);
    EXPECT_EQ(status(gateway.exchange(request_with(key))), 401);
    fault_table()->wall_clock_offset_us = 0;
}
