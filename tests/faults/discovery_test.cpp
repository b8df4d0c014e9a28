// A discovery service that responds slowly.
#include "tests/faults/rig.h"

using namespace fault_test;

TEST(SlowDiscovery, GetsALongerFirstListTimeout) {
    FaultNode n;
    n.discovery->response_delay = 1500ms;
    n.discovery->initial_list = Discovery::list(50, true, n.hosts[0]->target("s-1", "draining"));
    ASSERT_TRUE(n.start());
    EXPECT_TRUE(
        n.run([&] { return n.process->log().find("revision=50") != std::string::npos; }, 6s))
        << n.process->log();
}
