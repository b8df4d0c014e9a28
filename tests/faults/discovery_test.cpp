// Guards against a node that never gets a list from a discovery service that responds slowly: the
// timeout for the first list must grow.
#include "tests/faults/fault_node.h"

using namespace fault_test;

TEST(SlowDiscovery, GetsALongerFirstListTimeout) {
    FaultNode node;
    node.discovery->response_delay = 1500ms;
    node.discovery->initial_list =
        Discovery::list(50, true, node.hosts[0]->target("s-1", "draining"));
    ASSERT_TRUE(node.start());
    EXPECT_TRUE(node.run_until(
        [&] { return node.process->log().find("revision=50") != std::string::npos; }, 6s))
        << node.process->log();
}
