// A start, and a new configuration, while system calls fail for a moment or for good.
#include "tests/faults/rig.h"

using namespace fault_test;

namespace {
std::string with_peers(std::string config) {
    const std::string own =
        test_support::own_address() + ":" + std::to_string(test_support::free_port());
    const auto other = [] {
        return "\"" + test_support::own_address() + ":" +
               std::to_string(test_support::free_port()) + "\"";
    };
    config = replaced(std::move(config), "\"peers\":false", "\"peers\":true");
    return replaced(std::move(config), "\"seed\":",
                    R"("peer_listen":")" + own + R"(","peers":[")" + own + "\"," + other() + "," +
                        other() + "],\"seed\":");
}
}  // namespace

TEST(Start, WhatFailsForAMomentIsTriedAgain) {
    struct Case {
        faults::Call call;
        int error;
    };
    for (const Case c : {Case{faults::socket_call, ENFILE}, Case{faults::bind_call, EADDRINUSE},
                         Case{faults::listen_call, EADDRINUSE}, Case{faults::open_call, EMFILE},
                         Case{faults::read_call, EIO}, Case{faults::epoll_ctl_call, ENOMEM}}) {
        for (const int times : {1, 2}) {
            FaultNode n(1, with_peers);
            n.process->faults.fail(c.call, c.error, times, 10s);
            EXPECT_TRUE(n.start()) << "call " << c.call << "\n" << n.process->log();
            EXPECT_EQ(n.process->faults.hit(c.call), times);
            EXPECT_TRUE(n.serves(1)) << "call " << c.call;
        }
    }
}

TEST(Start, WhatGoesOnFailingEndsItWithAClearErrorAfterABoundedWhile) {
    FaultNode n;
    n.process->faults.fail(faults::bind_call, EADDRINUSE, faults::unlimited, 60s);
    const Micros begun = event::Loop::clock();
    n.process->start();
    ASSERT_TRUE(n.run([&] { return n.process->ended().has_value(); }, 20s));
    EXPECT_GT((event::Loop::clock() - begun).count(), Micros(2s).count());
    EXPECT_EQ(WEXITSTATUS(n.process->wait_for_end()), 3);
    EXPECT_NE(n.process->log().find("start_delayed"), std::string::npos) << n.process->log();
    EXPECT_NE(n.process->log().find("Address already in use"), std::string::npos)
        << n.process->log();
}

TEST(Reload, AFileHalfWrittenIsReadAgainUntilItIsWhole) {
    for (const bool torn : {true, false}) {
        FaultNode n;
        ASSERT_TRUE(n.start());
        Discovery other(n.loop);
        const std::string fresh = replaced(n.config, n.discovery->address(), other.address());
        if (torn) {
            n.process->write_file(fresh.substr(0, fresh.size() / 2));
        } else {
            n.process->configure(fresh);
            n.process->faults.fail(faults::open_call, EMFILE, faults::unlimited, 300ms);
        }
        n.process->signal(SIGHUP);
        n.process->signal(SIGHUP);
        n.pass(300ms);
        EXPECT_TRUE(n.serves(1)) << "the old one serves meanwhile";
        if (torn) n.process->configure(fresh);
        EXPECT_TRUE(n.run([&] { return !other.request_lines.empty(); }, 3s)) << n.process->log();
    }
}

TEST(Start, SigtermWhileItIsTriedAgainEndsItInOrder) {
    FaultNode n;
    n.process->faults.fail(faults::bind_call, EADDRINUSE, faults::unlimited, 60s);
    n.process->start();
    ASSERT_TRUE(n.run([&] { return n.process->faults.hit(faults::bind_call) > 2; }, 3s));
    n.process->signal(SIGTERM);
    EXPECT_TRUE(n.run([&] { return n.process->ended().has_value(); }, 1s));
    EXPECT_EQ(n.process->wait_for_end(), 0);
}
