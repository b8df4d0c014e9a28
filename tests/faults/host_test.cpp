// Guards against local resource shortages that eject a healthy host, and against transient errors
// of system calls that close a connection to a host or a client.
#include "tests/faults/fault_node.h"

using namespace fault_test;

namespace {
bool is_one_reply(const std::string& received) {
    return replies(received).size() == 1;
}
}  // namespace

TEST(LocalShortage, DoesNotEjectTheHost) {
    struct Case {
        faults::SystemCall call;
        int error;
    };
    for (const Case test_case :
         {Case{faults::socket_call, ENFILE}, Case{faults::connect_call, EADDRNOTAVAIL},
          Case{faults::connect_call, ENOBUFS}, Case{faults::connect_call, ENETUNREACH},
          Case{faults::connect_result, ENETUNREACH}, Case{faults::connect_result, ENOBUFS},
          Case{faults::connect_result, EADDRNOTAVAIL}}) {
        FaultNode node;
        ASSERT_TRUE(node.start());
        node.process->faults.fail(test_case.call, test_case.error, faults::unlimited, 100ms);
        const std::string list = "c=lookup,t=team,d=60,units=1,spread=1,first=0";
        for (std::uint64_t id = 1; id <= 3; ++id)
            EXPECT_TRUE(is_one_reply(node.exchange(query(id, list), 4)));
        EXPECT_GT(node.process->faults.failed_calls(test_case.call), 0)
            << "call " << test_case.call;
        node.run_for(120ms);
        const std::string impatient = query(10, "c=lookup,t=team,d=150,units=1,spread=1,first=0");
        EXPECT_EQ(node.exchange(impatient, 10), bulk("for " + hex(10)))
            << "call " << test_case.call << " error " << test_case.error
            << ": the host was ejected";
    }
}

TEST(LocalShortage, InterruptedConnectContinues) {
    FaultNode node;
    ASSERT_TRUE(node.start());
    node.process->faults.fail(faults::connect_call, EINTR, 1, 5s);
    EXPECT_TRUE(node.serves_request(1));
    EXPECT_EQ(node.process->faults.failed_calls(faults::connect_call), 1);
    EXPECT_EQ(node.hosts[0]->peers.size(), 1u) << "one connection, not two";
}

TEST(TransientErrors, CloseNoConnection) {
    struct Case {
        faults::SystemCall call;
        int error, times;
    };
    for (const Case test_case :
         {Case{faults::recv_call, ENOMEM, 4}, Case{faults::recv_call, EINTR, 4},
          Case{faults::send_call, ENOBUFS, 2}, Case{faults::send_call, EINTR, 2},
          Case{faults::epoll_ctl_call, ENOMEM, 1}, Case{faults::epoll_ctl_call, ENOSPC, 2},
          Case{faults::epoll_wait_call, EINTR, 4}, Case{faults::epoll_wait_call, ENOMEM, 4}}) {
        FaultNode node;
        ASSERT_TRUE(node.start());
        auto first_client = node.connect();
        first_client->stream.write(query(1));
        ASSERT_TRUE(node.run_until([&] { return is_one_reply(first_client->received); }));
        node.process->faults.fail(test_case.call, test_case.error, test_case.times, 5s);
        auto second_client = node.connect();
        first_client->stream.write(query(2));
        second_client->stream.write(query(3));
        node.run_until(
            [&] {
                return replies(first_client->received).size() == 2 &&
                       is_one_reply(second_client->received);
            },
            1500ms);
        EXPECT_EQ(replies(first_client->received).size(), 2u)
            << "call " << test_case.call << " error " << test_case.error;
        EXPECT_TRUE(is_one_reply(second_client->received))
            << "call " << test_case.call << " error " << test_case.error;
        EXPECT_EQ(node.process->faults.failed_calls(test_case.call), test_case.times)
            << "call " << test_case.call;
        EXPECT_TRUE(node.is_running()) << node.process->log();
    }
}

TEST(ConnectionErrors, ReceiveErrorClosesTheConnectionAndTheRequestIsRetried) {
    for (const int error : {ECONNRESET, ETIMEDOUT, EHOSTUNREACH, ENETDOWN}) {
        FaultNode node(2);
        ScriptedServer::Peer* first_peer = nullptr;
        for (auto& host : node.hosts)
            host->respond = [&](ScriptedServer::Peer& peer, const Arguments& words) {
                if (!std::exchange(first_peer, &peer)) return;
                peer.stream.write(host_response("for " + words[2]));
            };
        ASSERT_TRUE(node.start());
        auto client = node.connect();
        client->stream.write(query(1));
        ASSERT_TRUE(node.run_until([&] { return first_peer != nullptr; }));
        // The host's answer cannot be read, so the attempt may have run; requests of this class may
        // be repeated.
        node.process->faults.fail(faults::recv_call, error, 1, 5s);
        first_peer->stream.write(host_response("unread"));
        EXPECT_TRUE(node.run_until([&] { return client->received == bulk("for " + hex(1)); }, 2s))
            << error << ": " << client->received;
        EXPECT_EQ(node.process->faults.failed_calls(faults::recv_call), 1);
    }
}

TEST(ConnectionErrors, ConnectFailureIsRetriedAtAnotherHost) {
    for (const int error : {ECONNREFUSED, ETIMEDOUT, EHOSTUNREACH, ECONNRESET}) {
        FaultNode node(2);
        ASSERT_TRUE(node.start());
        ASSERT_TRUE(node.run_until([&] { return !node.discovery->request_lines.empty(); }));
        node.process->faults.fail(faults::connect_result, error, 1, 5s);
        EXPECT_TRUE(node.serves_request(1)) << error;
        EXPECT_EQ(node.process->faults.failed_calls(faults::connect_result), 1);
    }
}

TEST(ConnectionErrors, WriteErrorClosesOnlyThatClient) {
    for (const int error : {EPIPE, ECONNRESET}) {
        FaultNode node;
        ASSERT_TRUE(node.start());
        auto client = node.connect();
        client->stream.write("*1\r\n$4\r\nPING\r\n");
        ASSERT_TRUE(node.run_until([&] { return client->received.size() == 7; }));
        node.process->faults.fail(faults::send_call, error, 2, 5s);
        client->stream.write("*1\r\n$4\r\nPING\r\n");
        EXPECT_TRUE(node.run_until([&] { return client->is_closed(); }, 1s)) << error;
        EXPECT_TRUE(node.serves_request(1));
    }
}
