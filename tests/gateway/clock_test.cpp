// A step of the wall clock while the gateway runs does not change how long keys are accepted.
#include <stdlib.h>

#include "tests/gateway/key_folder.h"
#include "tests/support/faults.h"

using namespace key_test;

namespace {
// The fault table of this process: the fault injection is linked into this test.
faults::SharedTable& steps() {
    static faults::SharedTable table;
    ::setenv(faults::table_variable, table.file().c_str(), 1);
    return table;
}
}  // namespace

TEST(WallClock, AStepEndsNoKeyBeforeItsCutoff) {
    steps()->wall_step_us = 0;
    Keys r;
    const std::string key = r.issue("birds", now() + UnixTime(600'000));
    TestGateway g(r.options());
    EXPECT_EQ(status(g.talk(with(key))), 200);
    steps()->wall_step_us = 3'600'000'000;
    EXPECT_EQ(status(g.talk(with(key))), 200) << "the wall clock is an hour ahead";
    steps()->wall_step_us = 0;
    EXPECT_EQ(status(g.talk(with(key))), 200) << "the wall clock is back at the true time";
}

TEST(WallClock, AStepBackServesNoKeyAfterItsCutoff) {
    steps()->wall_step_us = 0;
    Keys r;
    const std::string key = r.issue("birds", now() + UnixTime(1'000));
    TestGateway g(r.options());
    EXPECT_EQ(status(g.talk(with(key))), 200);
    steps()->wall_step_us = -3'600'000'000;
    g.pass(1100ms);
    EXPECT_EQ(status(g.talk(with(key))), 401);
    steps()->wall_step_us = 0;
}
