// What a step of the wall clock does to keys and to hosts' starts while the gateway runs: nothing.
#include <stdlib.h>

#include "tests/gateway/key_folder.h"
#include "tests/support/fault_injection.h"

using namespace key_test;

namespace {
// The table of this process: the fault injection is linked into this test.
faults::SharedFaultTable& steps() {
    static faults::SharedFaultTable table;
    ::setenv(faults::table_variable, table.file().c_str(), 1);
    return table;
}
}  // namespace

TEST(WallClock, AStepEndsNoKeyBeforeItsSpanIsOver) {
    steps()->wall_clock_offset_us = 0;
    Keys r;
    const std::string key = r.issue("birds", now() + UnixTime(600'000));
    TestGateway g(r.options());
    EXPECT_EQ(status(g.talk(with(key))), 200);
    steps()->wall_clock_offset_us = 3'600'000'000;
    EXPECT_EQ(status(g.talk(with(key))), 200) << "an hour ahead";
    steps()->wall_clock_offset_us = 0;
    EXPECT_EQ(status(g.talk(with(key))), 200) << "and back";
}

TEST(WallClock, AStepBackServesNoKeyBeyondItsCutoff) {
    steps()->wall_clock_offset_us = 0;
    Keys r;
    const std::string key = r.issue("birds", now() + UnixTime(1'000));
    TestGateway g(r.options());
    EXPECT_EQ(status(g.talk(with(key))), 200);
    steps()->wall_clock_offset_us = -3'600'000'000;
    g.run_for(1100ms);
    EXPECT_EQ(status(g.talk(with(key))), 401);
    steps()->wall_clock_offset_us = 0;
}
