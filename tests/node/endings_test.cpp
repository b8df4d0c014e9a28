// Clients, hosts and drains that end while requests are in flight. The tests put the events of each
// unfavourable order into the sockets before the loop runs.
#include <netinet/in.h>
#include <sys/socket.h>

#include <array>

#include "tests/node/test_node.h"

using namespace node_test;

namespace {
const std::string pong = "+PONG\r\n";
std::string ping() {
    return "*1\r\n$4\r\nPING\r\n";
}
std::string response_to(std::uint64_t id) {
    return bulk("for " + hex(id));
}
// Returns a client socket whose bytes are in the node's socket before the node reads. A close of
// the returned socket also arrives before that.
event::Fd connect_and_send(const TestNode& node, const std::string& bytes) {
    event::Fd fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    sockaddr_in address{};
    address.sin_family = AF_INET,
    address.sin_port = htons(static_cast<std::uint16_t>(node.instance->port()));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    EXPECT_EQ(::connect(fd.get(), reinterpret_cast<sockaddr*>(&address), sizeof address), 0);
    EXPECT_EQ(::send(fd.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL),
              static_cast<ssize_t>(bytes.size()));
    return fd;
}
std::string receive_all(int fd, bool& reset) {
    std::string received;
    std::array<char, 4096> buffer{};
    ssize_t size = 0;
    while ((size = ::recv(fd, buffer.data(), buffer.size(), MSG_DONTWAIT)) > 0)
        received.append(buffer.data(), static_cast<std::size_t>(size));
    reset = size < 0 && errno == ECONNRESET;
    return received;
}
}  // namespace

TEST(ClientEnds, NoAttemptIsSentAfterADisconnectDuringTheConnect) {
    DelayedAcceptHost late_host;
    TestNode node({0, 256, 1000, 64, 3000, target(late_host)});
    {
        auto client = node.connect();
        client->stream.write(submit(1, "SHEET"));
        node.run_for(50ms);
    }  // disconnects before the host accepts the connection
    node.run_for(10ms);
    EXPECT_TRUE(node.run_until(
        [&] { return late_host.received_bytes() > 0 || late_host.accepted_count() > 0; }, 1800ms))
        << "the host accepts the pending connection";
    node.run_for(50ms);
    EXPECT_EQ(late_host.received_bytes(), 0u);
}

TEST(ClientEnds, ARequestReadTogetherWithItsClientsDisconnectIsNotForwarded) {
    TestNode node;
    { const event::Fd gone = connect_and_send(node, query(1) + query(2)); }
    node.run_for(50ms);
    EXPECT_EQ(node.command_count(), 0u);
    EXPECT_EQ(node.exchange(query(1), response_to(1).size()), response_to(1));
}

TEST(ClientEnds, ADisconnectIsDetectedBehindQueuedCommands) {
    TestNode node;
    node.hosts[0]->respond = [](ScriptedServer::Peer&, const Arguments&) {};
    {
        auto client = node.connect();
        std::string commands = query(1);
        for (int i = 0; i < 100; ++i)
            commands += ping();
        client->stream.write(commands);
        ASSERT_TRUE(node.run_until([&] { return node.command_count() == 1; }));
        node.run_for(20ms);
    }
    node.run_for(20ms);
    node.hosts[0]->respond = [](ScriptedServer::Peer& peer, const Arguments&) {
        peer.stream.write(host_response("later"));
    };
    EXPECT_EQ(node.exchange(query(1), 5), bulk("later")) << "the request id is free again";
}

TEST(ClientEnds, NoRetryBeginsForADisconnectedClient) {
    // The host's error and the client's disconnect are in their sockets before the loop reads
    // either.
    for (const bool disconnects_first : {false, true}) {
        TestNode node({2});
        ScriptedServer::Peer* host_peer = nullptr;
        for (auto& host : node.hosts)
            host->respond = [&](ScriptedServer::Peer& peer, const Arguments&) {
                host_peer = &peer;
            };
        event::Fd client = connect_and_send(node, query(1));
        ASSERT_TRUE(node.run_until([&] { return host_peer != nullptr; }));
        if (disconnects_first) client.reset();
        host_peer->stream.write("-ERR failed\r\n");
        client.reset();
        node.run_for(100ms);
        EXPECT_EQ(node.command_count(), 1u) << disconnects_first;
    }
}

// Guards against a request that runs twice because it comes again, with its id and key, after its
// client has left: the second attempt may reach a cell that does not know of the first one.
TEST(ClientEnds, AnIdThatMayBeRunningIsNotRunAgain) {
    TestNode node({2});
    for (auto& host : node.hosts)
        host->respond = [](ScriptedServer::Peer&, const Arguments&) {};
    {
        auto client = node.connect();
        client->stream.write(submit(5, "b") + query(6));
        ASSERT_TRUE(node.run_until([&] { return node.command_count() == 2; }));
    }
    node.run_for(20ms);
    for (int i = 0; i < 4; ++i)
        EXPECT_EQ(node.exchange(submit(5, "b"), 5),
                  "-ERR id: a request of that name may be running\r\n");
    EXPECT_EQ(node.command_count(), 2u);
    for (auto& host : node.hosts)
        host->respond = [](ScriptedServer::Peer& peer, const Arguments& arguments) {
            peer.stream.write(host_response("for " + arguments[2]));
        };
    EXPECT_EQ(node.exchange(query(6), 5), response_to(6)) << "an idempotent request may run again";
    node.run_for(1600ms);
    EXPECT_EQ(node.exchange(submit(5, "b"), 5), response_to(5)) << "its time was over";
}

TEST(HostDrains, UnsentAttemptsMoveToAnotherHost) {
    DelayedAcceptHost late_host;
    TestNode node({0, 256, 1000, 64, 5000, target(late_host)});
    ASSERT_TRUE(node.run_until([&] { return node.discovery->request_lines.size() == 1; }));
    auto client = node.connect();
    client->stream.write(submit(1, "SHEET"));
    node.run_for(50ms);
    Host other_host(node.loop);
    node.discovery->send_line(
        Discovery::list(42, false, target(late_host, "draining") + "," + other_host.target("s-2")));
    EXPECT_TRUE(node.run_until([&] { return client->received == response_to(1); }, 1s))
        << client->received;
    EXPECT_EQ(other_host.commands.size(), 1u);
    EXPECT_EQ(late_host.received_bytes(), 0u);
}

TEST(Endings, AnErrorLineReachesAClientWithUnreadBytes) {
    TestNode node;
    const event::Fd client = connect_and_send(node, "*x\r\n" + std::string(100'000, 'x'));
    node.run_for(50ms);
    bool reset = false;
    EXPECT_EQ(receive_all(client.get(), reset),
              "-ERR Protocol error: expected an array of bulk strings\r\n");
    EXPECT_FALSE(reset);
}

TEST(Endings, BytesAfterTheErrorLineAreReadAndNeverForwarded) {
    TestNode node;
    const event::Fd client = connect_and_send(node, "*x\r\n");
    node.run_for(20ms);
    const std::string late_command = query(1);
    EXPECT_EQ(::send(client.get(), late_command.data(), late_command.size(), MSG_NOSIGNAL),
              static_cast<ssize_t>(late_command.size()));
    node.run_for(20ms);
    bool reset = false;
    EXPECT_EQ(receive_all(client.get(), reset),
              "-ERR Protocol error: expected an array of bulk strings\r\n");
    EXPECT_FALSE(reset);
    EXPECT_EQ(node.command_count(), 0u);
}

TEST(Endings, AClientThatKeepsSendingAfterItsErrorIsClosed) {
    TestNode node;
    auto client = node.connect();
    client->stream.write("*x\r\n" + std::string(8'000'000, 'x'));
    EXPECT_TRUE(node.run_until([&] { return client->has_failed; }, 4s))
        << "the node limits how long it reads";
}

TEST(Endings, LingeringClientsDoNotLockOutOthers) {
    TestNode node({1, 64});
    std::vector<event::Fd> lingering;
    for (int i = 0; i < 60; ++i) {
        lingering.push_back(connect_and_send(node, "*x\r\n"));
        node.run_for(2ms);
    }
    EXPECT_EQ(node.exchange(query(1), response_to(1).size()), response_to(1));
}

namespace {
// A node whose host has received a client's request and has not answered it.
struct NodeWithRequestInFlight : TestNode {
    ScriptedServer::Peer* host_peer = nullptr;
    std::unique_ptr<Client> client = connect();
    NodeWithRequestInFlight() {
        hosts[0]->respond = [this](ScriptedServer::Peer& peer, const Arguments&) {
            host_peer = &peer;
        };
        client->stream.write(submit(1, "SHEET"));
        EXPECT_TRUE(run_until([this] { return host_peer != nullptr; }));
    }
};
}  // namespace

TEST(DrainEnds, TheDrainWaitsForARequestInFlight) {
    NodeWithRequestInFlight node;
    ASSERT_TRUE(node.host_peer);
    bool done = false;
    node.instance->drain(0ms, 100ms, [&] { done = true; });
    node.run_for(250ms);
    EXPECT_FALSE(done) << "the drain waits for the response";
    node.host_peer->stream.write(host_response("for " + hex(1)));
    EXPECT_TRUE(node.run_until([&] { return done; }, 2s));
    EXPECT_EQ(node.client->received, response_to(1));
}

TEST(DrainEnds, RequestsThatArriveDuringTheDrainAreAnswered) {
    NodeWithRequestInFlight node;
    ASSERT_TRUE(node.host_peer);
    node.instance->drain(0ms, 400ms, [] {});
    node.run_for(50ms);
    node.hosts[0]->respond = [](ScriptedServer::Peer&, const Arguments&) {};
    node.client->stream.write(submit(2, "SHEET") + ping());
    node.run_for(20ms);
    node.host_peer->stream.write(host_response("for " + hex(1)));
    ASSERT_TRUE(node.run_until([&] { return node.client->received.ends_with(pong); }, 1s))
        << "the response comes long before the request's deadline";
    EXPECT_TRUE(node.client->received.starts_with(response_to(1) + "-")) << node.client->received;
}

TEST(DrainEnds, AClientThatKeepsSendingIsClosed) {
    TestNode node;
    auto client = node.connect();
    bool done = false;
    node.instance->drain(0ms, 300ms, [&] { done = true; });
    int sent = 0;
    EXPECT_TRUE(node.run_until(
        [&] {
            if (!client->is_closed())
                client->stream.write(ping()), ++sent;
            else
                client->stream.close();
            return done;
        },
        3s));
    EXPECT_GT(sent, 0);
}

namespace {
// Records the outcomes of attempts.
struct AttemptRecorder : upstream_resp::AttemptCallbacks {
    std::vector<Outcome> outcomes;
    std::optional<Micros> begin_send(const core::AttemptKey&) override { return 1s; }
    void on_attempt_ended(const core::AttemptKey&, const std::string&, Micros,
                          upstream_resp::HostResponse response) override {
        outcomes.push_back(response.outcome);
    }
    void on_health_check_ended(HealthCheckEnded) override {}
};
}  // namespace

TEST(HostEnds, ANonIdempotentRequestReusesNoLongIdleConnection) {
    test_support::LoopRunner runner;
    Host host(runner.loop);
    AttemptRecorder recorder;
    upstream_resp::UpstreamLimits limits;
    limits.non_idempotent_reuse_limit = 300ms;
    upstream_resp::Upstream upstream(runner.loop, limits, recorder);
    upstream.update_hosts(*platform::read_targets(Discovery::list(1, true, host.target("s-1"))));
    const auto send = [&](RequestId id, bool is_idempotent) {
        auto command = std::make_shared<platform::UpstreamCommand>();
        resp::append_array(command->prefix, 4);
        for (const char* word : {"SVC.QUERY", "0000000000000007", "0000000000000001"})
            resp::append_bulk(command->prefix, word);
        command->list_before_deadline = "c=sell,d=", command->is_idempotent = is_idempotent;
        recorder.outcomes.clear();
        upstream.send({id, 0}, "s-1", command);
        EXPECT_TRUE(runner.run_until([&] { return !recorder.outcomes.empty(); }, 1s));
        EXPECT_EQ(recorder.outcomes, std::vector<Outcome>{Outcome::success});
        return host.peers.size();
    };
    EXPECT_EQ(send(1, false), 1u);
    EXPECT_EQ(send(2, false), 1u) << "the connection was used recently";
    runner.run_for(400ms);
    EXPECT_EQ(send(3, false), 2u) << "the connection is idle for longer than the limit";
    runner.run_for(400ms);
    EXPECT_EQ(send(4, true), 2u) << "an idempotent request reuses the connection";
}

TEST(HostEnds, APendingConnectionServesTheNextAttempt) {
    DelayedAcceptHost late_host;
    test_support::LoopRunner runner;
    AttemptRecorder recorder;
    upstream_resp::UpstreamLimits limits;
    limits.connect_timeout = 50ms;
    upstream_resp::Upstream upstream(runner.loop, limits, recorder);
    upstream.update_hosts(*platform::read_targets(Discovery::list(1, true, target(late_host))));
    auto command = std::make_shared<platform::UpstreamCommand>();
    command->prefix = "*1\r\n$4\r\nPING\r\n";
    upstream.send({1, 0}, "s-1", command);
    ASSERT_TRUE(runner.run_until([&] { return recorder.outcomes.size() == 1; }, 1s));
    EXPECT_EQ(recorder.outcomes[0], Outcome::connect_failed);
    ASSERT_TRUE(runner.run_until(
        [&] { return late_host.received_bytes() > 0 || late_host.accepted_count() > 0; }, 1800ms))
        << "the host accepts the pending connection";
    runner.run_for(20ms);
    upstream.send({2, 0}, "s-1", command);
    EXPECT_TRUE(runner.run_until([&] { return late_host.received_bytes() > 0; }, 1s))
        << "sent on the connection that was pending";
    EXPECT_EQ(upstream.stats().connections.opened, 1u);
}

TEST(HostEnds, AtTheConnectionLimitAnAttemptEndsAsNotStarted) {
    DelayedAcceptHost late_host;
    test_support::LoopRunner runner;
    AttemptRecorder recorder;
    upstream_resp::UpstreamLimits limits;
    limits.max_connections = 1;
    upstream_resp::Upstream upstream(runner.loop, limits, recorder);
    upstream.update_hosts(*platform::read_targets(Discovery::list(1, true, target(late_host))));
    auto command = std::make_shared<platform::UpstreamCommand>();
    upstream.send({1, 0}, "s-1", command);
    upstream.send({2, 0}, "s-1", command);
    EXPECT_EQ(recorder.outcomes, std::vector<Outcome>{Outcome::not_started})
        << "no connection was tried";
    upstream.send({3, 0}, "s-none", command);
    EXPECT_EQ(recorder.outcomes.back(), Outcome::connect_failed) << "the host has no known address";
}
