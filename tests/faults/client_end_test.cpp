// The end of a client that has asked for much.
#include "tests/faults/rig.h"

using namespace fault_test;

TEST(ClientEnds, AreSeenBehindMoreThanIsReadAhead) {
    FaultNode n(2);
    std::vector<Micros> begun;
    for (auto& h : n.hosts)
        h->respond = [&](ScriptedServer::Peer& p, const Arguments& w) {
            begun.push_back(event::Loop::clock());
            n.loop.after(200ms, [&p, value = "for " + w[2]] {
                if (!p.is_closed) p.stream.write(host_response(value));
            });
        };
    ASSERT_TRUE(n.start());
    auto c = n.connect();
    std::string all;
    for (std::uint64_t id = 1; id <= 1000; ++id)
        all += query(id);
    c->stream.write(all);
    ASSERT_TRUE(n.run([&] { return !begun.empty(); }));
    n.pass(50ms);
    const Micros closed = event::Loop::clock();
    c.reset();
    n.pass(1500ms);
    for (const Micros at : begun)
        EXPECT_LE((at - closed).count(), Micros(100ms).count());
}

TEST(ClientsTogether, WhatOthersSendTakesNoAnswerFromAWholeCommand) {
    constexpr int clients = 30, pings = 500;
    FaultNode n(12, [](std::string config) {
        return replaced(std::move(config), "\"memory_mb\":64", "\"memory_mb\":4");
    });
    for (auto& h : n.hosts)
        h->respond = [&](ScriptedServer::Peer& p, const Arguments& w) {
            n.loop.after(500ms, [&p, value = "for " + w[2]] {
                if (!p.is_closed) p.stream.write(host_response(value));
            });
        };
    ASSERT_TRUE(n.start());
    std::vector<std::unique_ptr<Client>> all;
    for (std::uint64_t id = 1; id <= clients; ++id) {
        all.push_back(n.connect());
        all.back()->stream.write(query(id, "c=lookup,t=team,d=1500,units=1,spread=1,first=0"));
    }
    n.pass(100ms);
    std::erase_if(all, [](const auto& c) { return !c->got.empty(); });  // refused at once
    ASSERT_GE(all.size(), 10u);
    // Whole commands that wait behind the first answer, on all connections more than is kept.
    std::string flood;
    for (int i = 0; i < pings; ++i)
        flood += "*2\r\n$4\r\nPING\r\n$100\r\n" + std::string(100, 'x') + "\r\n";
    for (auto& c : all)
        c->stream.write(flood);
    const auto whole = [](const auto& c) { return replies(c->got).size() == 1 + pings; };
    n.run(
        [&] {
            return std::all_of(all.begin(), all.end(),
                               [&](auto& c) { return c->over() || whole(c); });
        },
        4s);
    for (auto& c : all)
        EXPECT_TRUE(whole(c)) << replies(c->got).size() << " answers, ended " << c->over();
}
