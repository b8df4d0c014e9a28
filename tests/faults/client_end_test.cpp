// The end of a client that has asked for much.
#include "tests/faults/rig.h"

using namespace fault_test;

TEST(ClientEnds, AreSeenBehindMoreThanIsReadAhead) {
    FaultNode n(2);
    std::vector<Micros> begun;
    for (auto& h : n.hosts)
        h->respond = [&](Accepting::Peer& p, const Words& w) {
            begun.push_back(event::Loop::clock());
            n.loop.after(200ms, [&p, value = "for " + w[2]] {
                if (!p.over) p.stream.write(served(value));
            });
        };
    ASSERT_TRUE(n.start());
    auto c = n.connect();
    std::string all;
    for (std::uint64_t id = 1; id <= 1000; ++id) all += query(id);
    c->stream.write(all);
    ASSERT_TRUE(n.run([&] { return !begun.empty(); }));
    n.pass(50ms);
    const Micros closed = event::Loop::clock();
    c.reset();
    n.pass(1500ms);
    for (const Micros at : begun) EXPECT_LE((at - closed).count(), Micros(100ms).count());
}
