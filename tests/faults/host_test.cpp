// Shortages of this machine and calls that fail for a moment, towards hosts and clients.
#include "tests/faults/rig.h"

using namespace fault_test;

namespace {
bool is_answer(const std::string& got) {
    return replies(got).size() == 1;
}
}  // namespace

TEST(LocalShortage, IsNoHostsFault) {
    struct Case {
        faults::Call call;
        int error;
    };
    for (const Case c :
         {Case{faults::socket_call, ENFILE}, Case{faults::connect_call, EADDRNOTAVAIL},
          Case{faults::connect_call, ENOBUFS}, Case{faults::connect_call, ENETUNREACH},
          Case{faults::connect_result, ENETUNREACH}, Case{faults::connect_result, ENOBUFS},
          Case{faults::connect_result, EADDRNOTAVAIL}}) {
        FaultNode n;
        ASSERT_TRUE(n.start());
        n.process->faults.fail(c.call, c.error, faults::unlimited, 100ms);
        const std::string list = "c=lookup,t=team,d=60,units=1,spread=1,first=0";
        for (std::uint64_t id = 1; id <= 3; ++id)
            EXPECT_TRUE(is_answer(n.talk(query(id, list), 4)));
        EXPECT_GT(n.process->faults.hit(c.call), 0) << "call " << c.call;
        n.pass(120ms);
        const std::string impatient = query(10, "c=lookup,t=team,d=150,units=1,spread=1,first=0");
        EXPECT_EQ(n.talk(impatient, 10), bulk("for " + hex(10)))
            << "call " << c.call << " error " << c.error << ": the host was put out";
    }
}

TEST(LocalShortage, AConnectThatIsInterruptedGoesOn) {
    FaultNode n;
    ASSERT_TRUE(n.start());
    n.process->faults.fail(faults::connect_call, EINTR, 1, 5s);
    EXPECT_TRUE(n.serves(1));
    EXPECT_EQ(n.process->faults.hit(faults::connect_call), 1);
    EXPECT_EQ(n.hosts[0]->peers.size(), 1u) << "one connection, not two";
}

TEST(Transient, ErrorsOfAMomentBreakNoConnection) {
    struct Case {
        faults::Call call;
        int error, times;
    };
    for (const Case c :
         {Case{faults::recv_call, ENOMEM, 4}, Case{faults::recv_call, EINTR, 4},
          Case{faults::send_call, ENOBUFS, 2}, Case{faults::send_call, EINTR, 2},
          Case{faults::epoll_ctl_call, ENOMEM, 1}, Case{faults::epoll_ctl_call, ENOSPC, 2},
          Case{faults::epoll_wait_call, EINTR, 4}, Case{faults::epoll_wait_call, ENOMEM, 4}}) {
        FaultNode n;
        ASSERT_TRUE(n.start());
        auto c1 = n.connect();
        c1->stream.write(query(1));
        ASSERT_TRUE(n.run([&] { return is_answer(c1->got); }));
        n.process->faults.fail(c.call, c.error, c.times, 5s);
        auto c2 = n.connect();
        c1->stream.write(query(2));
        c2->stream.write(query(3));
        n.run([&] { return replies(c1->got).size() == 2 && is_answer(c2->got); }, 1500ms);
        EXPECT_EQ(replies(c1->got).size(), 2u) << "call " << c.call << " error " << c.error;
        EXPECT_TRUE(is_answer(c2->got)) << "call " << c.call << " error " << c.error;
        EXPECT_EQ(n.process->faults.hit(c.call), c.times) << "call " << c.call;
        EXPECT_TRUE(n.runs()) << n.process->log();
    }
}

TEST(BrokenConnection, ErrorsThatTellOfItEndItAndTheRequestIsAnswered) {
    for (const int error : {ECONNRESET, ETIMEDOUT, EHOSTUNREACH, ENETDOWN}) {
        FaultNode n(2);
        ScriptedServer::Peer* first = nullptr;
        for (auto& h : n.hosts)
            h->respond = [&](ScriptedServer::Peer& p, const Arguments& w) {
                if (!std::exchange(first, &p)) return;
                p.stream.write(host_response("for " + w[2]));
            };
        ASSERT_TRUE(n.start());
        auto c = n.connect();
        c->stream.write(query(1));
        ASSERT_TRUE(n.run([&] { return first != nullptr; }));
        // The host's answer cannot be read: the attempt may have run, and the class may be
        // repeated.
        n.process->faults.fail(faults::recv_call, error, 1, 5s);
        first->stream.write(host_response("unread"));
        EXPECT_TRUE(n.run([&] { return c->got == bulk("for " + hex(1)); }, 2s))
            << error << ": " << c->got;
        EXPECT_EQ(n.process->faults.hit(faults::recv_call), 1);
    }
}

TEST(BrokenConnection, AConnectThatFailsAtItsHostGoesToAnother) {
    for (const int error : {ECONNREFUSED, ETIMEDOUT, EHOSTUNREACH, ECONNRESET}) {
        FaultNode n(2);
        ASSERT_TRUE(n.start());
        ASSERT_TRUE(n.run([&] { return !n.discovery->request_lines.empty(); }));
        n.process->faults.fail(faults::connect_result, error, 1, 5s);
        EXPECT_TRUE(n.serves(1)) << error;
        EXPECT_EQ(n.process->faults.hit(faults::connect_result), 1);
    }
}

TEST(BrokenConnection, AWriteToAClientThatFailsEndsThatClientAlone) {
    for (const int error : {EPIPE, ECONNRESET}) {
        FaultNode n;
        ASSERT_TRUE(n.start());
        auto c = n.connect();
        c->stream.write("*1\r\n$4\r\nPING\r\n");
        ASSERT_TRUE(n.run([&] { return c->got.size() == 7; }));
        n.process->faults.fail(faults::send_call, error, 2, 5s);
        c->stream.write("*1\r\n$4\r\nPING\r\n");
        EXPECT_TRUE(n.run([&] { return c->over(); }, 1s)) << error;
        EXPECT_TRUE(n.serves(1));
    }
}
