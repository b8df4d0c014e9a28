// Deadlines passed to hosts: at most what the client has left, wherever the time was spent.
#include "tests/faults/rig.h"

using namespace fault_test;

namespace {
constexpr auto slack = 150ms;
struct Begun {
    Micros after{0};  // the client's write
    Micros told{0};
};
std::string patient(std::string config) {
    return replaced(std::move(config), "\"promiseUs\":600000", "\"promiseUs\":1950000");
}
}  // namespace

TEST(Deadline, CommandsBehindAQueueKeepOnlyWhatTheirClientHasLeft) {
    FaultNode n(2, patient);
    std::vector<Begun> begun;
    Micros written{0};
    for (auto& h : n.hosts)
        h->respond = [&](ScriptedServer::Peer& p, const Arguments& w) {
            begun.push_back(
                {event::Loop::clock() - written, std::chrono::milliseconds(figure(w, "d"))});
            n.loop.after(300ms, [&p, value = "for " + w[2]] {
                if (!p.is_closed) p.stream.write(host_response(value));
            });
        };
    ASSERT_TRUE(n.start());
    auto c = n.connect();
    std::string all;
    constexpr int commands = 400;
    for (int i = 1; i <= commands; ++i)
        all +=
            query(static_cast<std::uint64_t>(i), "c=lookup,t=team,d=1500,units=1,spread=1,first=0");
    written = event::Loop::clock();
    c->stream.write(all);
    EXPECT_TRUE(n.run([&] { return replies(c->got).size() == commands; }, 8s))
        << replies(c->got).size();
    EXPECT_GE(begun.size(), 4u);
    for (const Begun& b : begun) {
        EXPECT_LE(b.after.count(), Micros(1500ms).count())
            << "begun for a client whose time is over";
        EXPECT_LE((b.told + b.after).count(), Micros(1500ms + slack).count()) << "told too much";
    }
}

TEST(Deadline, AConnectionThatComesUpLateIsToldWhatIsLeft) {
    LateHost late;
    FaultNode n(
        0,
        [](std::string config) {
            return replaced(patient(std::move(config)), "\"connectTimeoutUs\":250000",
                            "\"connectTimeoutUs\":3000000");
        },
        target(late));
    ASSERT_TRUE(n.start());
    auto c = n.connect();
    const Micros written = event::Loop::clock();
    c->stream.write(query(1, "c=lookup,t=team,d=1900,units=1,spread=1,first=0"));
    n.pass(50ms);
    ASSERT_TRUE(n.run([&] { return late.bytes() > 0; }, 2500ms));
    const Micros after = event::Loop::clock() - written;
    EXPECT_GT(after.count(), Micros(500ms).count()) << "it was not late";
    resp::CommandParser reader;
    ASSERT_EQ(reader.parse(late.text()), resp::ParseStatus::complete);
    const Arguments words = {"", "", "", std::string(reader.argument(late.text(), 3))};
    EXPECT_LE(figure(words, "d"), 1900 - after.count() / 1000 + 150);
    EXPECT_GT(figure(words, "d"), 0);
}

TEST(Deadline, AKeyedRequestIsNotRepeatedOverAConnectionThatComesUpAfterItsWindow) {
    LateHost late;
    FaultNode n(1, [](std::string config) {
        config = replaced(std::move(config), "\"connectTimeoutUs\":250000",
                          "\"connectTimeoutUs\":3000000");
        config = replaced(std::move(config), "\"promiseUs\":750000", "\"promiseUs\":1950000");
        return replaced(std::move(config), "\"repeatWindowUs\":1200000",
                        "\"repeatWindowUs\":800000");
    });
    ScriptedServer::Peer* first = nullptr;
    n.hosts[0]->respond = [&](ScriptedServer::Peer& p, const Arguments&) { first = &p; };
    ASSERT_TRUE(n.start());
    ASSERT_TRUE(n.run([&] { return !n.discovery->request_lines.empty(); }));
    auto c = n.connect();
    c->stream.write(replaced(submit(1, "SHEET"), "d=1500", "d=1900"));
    ASSERT_TRUE(n.run([&] { return first != nullptr; }));
    // The host of the first attempt drains and breaks off: what is left of its cell is the late
    // one.
    n.discovery->send_line(Discovery::list(
        42, false,
        n.hosts[0]->target("s-1", "draining") + "," + replaced(target(late), "s-1", "s-2")));
    n.pass(50ms);
    first->stream.reset();
    n.pass(100ms);  // the connection to the late one is asked for before it takes any
    n.run([&] { return late.bytes() > 0; }, 1800ms);
    EXPECT_EQ(late.bytes(), 0u) << "the window was over when the connection came up";
    n.run([&] { return !c->got.empty(); }, 500ms);
    EXPECT_EQ(c->got.substr(0, 1), "-");
}

TEST(Deadline, WhatCameWhileTheProcessWasHeldUpKeepsOnlyWhatIsLeft) {
    for (const bool new_connection : {false, true}) {
        FaultNode n(1, patient);
        std::vector<Begun> begun;
        Micros written{0};
        n.hosts[0]->respond = [&](ScriptedServer::Peer& p, const Arguments& w) {
            begun.push_back(
                {event::Loop::clock() - written, std::chrono::milliseconds(figure(w, "d"))});
            p.stream.write(host_response("for " + w[2]));
        };
        ASSERT_TRUE(n.start());
        auto c = n.connect();
        c->stream.write("*1\r\n$4\r\nPING\r\n");
        ASSERT_TRUE(n.run([&] { return c->got.size() == 7; }));
        n.process->signal(SIGSTOP);
        n.pass(20ms);
        if (new_connection) c = n.connect();
        written = event::Loop::clock();
        c->stream.write(query(1, "c=lookup,t=team,d=1500,units=1,spread=1,first=0"));
        n.pass(900ms);
        n.process->signal(SIGCONT);
        EXPECT_TRUE(n.run([&] { return !begun.empty(); }, 1s));
        for (const Begun& b : begun) {
            EXPECT_LE((b.told + b.after).count(), Micros(1500ms + slack).count()) << new_connection;
            EXPECT_GT(b.told.count(), Micros(200ms).count()) << "not all of it is lost";
        }
    }
}
