// Clients, hosts and drains that end while requests are in flight. The tests put the events of each
// unfavourable order into the sockets before the loop runs.
#include <netinet/in.h>
#include <sys/socket.h>

#include <array>

#include "tests/node/rig.h"

using namespace node_test;

namespace {
const std::string pong = "+PONG\r\n";
std::string ping() {
    return "*1\r\n$4\r\nPING\r\n";
}
std::string answer(std::uint64_t id) {
    return bulk("for " + hex(id));
}
// Returns a client socket whose bytes are in the node's socket before the node reads. A close of
// the returned socket also arrives before that.
event::Fd raw(const TestNode& n, const std::string& bytes) {
    event::Fd fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    sockaddr_in at{};
    at.sin_family = AF_INET, at.sin_port = htons(static_cast<std::uint16_t>(n.node->port()));
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    EXPECT_EQ(::connect(fd.get(), reinterpret_cast<sockaddr*>(&at), sizeof at), 0);
    EXPECT_EQ(::send(fd.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL),
              static_cast<ssize_t>(bytes.size()));
    return fd;
}
std::string receive_all(int fd, bool& reset) {
    std::string got;
    std::array<char, 4096> buffer{};
    ssize_t n = 0;
    while ((n = ::recv(fd, buffer.data(), buffer.size(), MSG_DONTWAIT)) > 0)
        got.append(buffer.data(), static_cast<std::size_t>(n));
    reset = n < 0 && errno == ECONNRESET;
    return got;
}
}  // namespace

TEST(ClientEnds, NoAttemptIsSentAfterADisconnectDuringTheConnect) {
    LateHost late;
    TestNode n({0, 256, 1000, 64, 3000, target(late)});
    {
        auto c = n.connect();
        c->stream.write(submit(1, "SHEET"));
        n.pass(50ms);
    }  // disconnects before the host accepts the connection
    n.pass(10ms);
    EXPECT_TRUE(n.run([&] { return late.bytes() > 0 || late.taken() > 0; }, 1800ms))
        << "the host accepts the pending connection";
    n.pass(50ms);
    EXPECT_EQ(late.bytes(), 0u);
}

TEST(ClientEnds, ARequestReadTogetherWithItsClientsDisconnectIsNotForwarded) {
    TestNode n;
    { const event::Fd gone = raw(n, query(1) + query(2)); }
    n.pass(50ms);
    EXPECT_EQ(n.commands(), 0u);
    EXPECT_EQ(n.talk(query(1), answer(1).size()), answer(1));
}

TEST(ClientEnds, ADisconnectIsDetectedBehindQueuedCommands) {
    TestNode n;
    n.hosts[0]->respond = [](Accepting::Peer&, const Words&) {};
    {
        auto c = n.connect();
        std::string many = query(1);
        for (int i = 0; i < 100; ++i)
            many += ping();
        c->stream.write(many);
        ASSERT_TRUE(n.run([&] { return n.commands() == 1; }));
        n.pass(20ms);
    }
    n.pass(20ms);
    n.hosts[0]->respond = [](Accepting::Peer& p, const Words&) { p.stream.write(served("later")); };
    EXPECT_EQ(n.talk(query(1), 5), bulk("later")) << "the request id is free again";
}

TEST(ClientEnds, NoRetryBeginsForADisconnectedClient) {
    // The host's error and the client's disconnect are in their sockets before the loop reads
    // either.
    for (const bool end_first : {false, true}) {
        TestNode n({2});
        Accepting::Peer* host = nullptr;
        for (auto& h : n.hosts)
            h->respond = [&](Accepting::Peer& p, const Words&) { host = &p; };
        event::Fd c = raw(n, query(1));
        ASSERT_TRUE(n.run([&] { return host != nullptr; }));
        if (end_first) c.reset();
        host->stream.write("-ERR failed\r\n");
        c.reset();
        n.pass(100ms);
        EXPECT_EQ(n.commands(), 1u) << end_first;
    }
}

TEST(HostDrains, UnsentAttemptsMoveToAnotherHost) {
    LateHost late;
    TestNode n({0, 256, 1000, 64, 5000, target(late)});
    ASSERT_TRUE(n.run([&] { return n.discovery->asked.size() == 1; }));
    auto c = n.connect();
    c->stream.write(submit(1, "SHEET"));
    n.pass(50ms);
    Host other(n.loop);
    n.discovery->say(
        Discovery::list(42, false, target(late, "draining") + "," + other.target("s-2")));
    EXPECT_TRUE(n.run([&] { return c->got == answer(1); }, 1s)) << c->got;
    EXPECT_EQ(other.commands.size(), 1u);
    EXPECT_EQ(late.bytes(), 0u);
}

TEST(Endings, AnErrorLineReachesAClientWithUnreadBytes) {
    TestNode n;
    const event::Fd c = raw(n, "*x\r\n" + std::string(100'000, 'x'));
    n.pass(50ms);
    bool reset = false;
    EXPECT_EQ(receive_all(c.get(), reset),
              "-ERR Protocol error: expected an array of bulk strings\r\n");
    EXPECT_FALSE(reset);
}

TEST(Endings, BytesAfterTheErrorLineAreReadAndNeverForwarded) {
    TestNode n;
    const event::Fd c = raw(n, "*x\r\n");
    n.pass(20ms);
    const std::string late = query(1);
    EXPECT_EQ(::send(c.get(), late.data(), late.size(), MSG_NOSIGNAL),
              static_cast<ssize_t>(late.size()));
    n.pass(20ms);
    bool reset = false;
    EXPECT_EQ(receive_all(c.get(), reset),
              "-ERR Protocol error: expected an array of bulk strings\r\n");
    EXPECT_FALSE(reset);
    EXPECT_EQ(n.commands(), 0u);
}

TEST(Endings, AClientThatKeepsSendingAfterItsErrorIsClosed) {
    TestNode n;
    auto c = n.connect();
    c->stream.write("*x\r\n" + std::string(8'000'000, 'x'));
    EXPECT_TRUE(n.run([&] { return c->broken; }, 4s)) << "the node limits how long it reads";
}

TEST(Endings, LingeringClientsDoNotLockOutOthers) {
    TestNode n({1, 64});
    std::vector<event::Fd> stay;
    for (int i = 0; i < 60; ++i) {
        stay.push_back(raw(n, "*x\r\n"));
        n.pass(2ms);
    }
    EXPECT_EQ(n.talk(query(1), answer(1).size()), answer(1));
}

namespace {
// A node whose host has received a client's request and has not answered it.
struct OneInFlight : TestNode {
    Accepting::Peer* host = nullptr;
    std::unique_ptr<Client> client = connect();
    OneInFlight() {
        hosts[0]->respond = [this](Accepting::Peer& p, const Words&) { host = &p; };
        client->stream.write(submit(1, "SHEET"));
        EXPECT_TRUE(run([this] { return host != nullptr; }));
    }
};
}  // namespace

TEST(DrainEnds, TheDrainWaitsForARequestInFlight) {
    OneInFlight n;
    ASSERT_TRUE(n.host);
    bool done = false;
    n.node->drain(0ms, 100ms, [&] { done = true; });
    n.pass(250ms);
    EXPECT_FALSE(done) << "the drain waits for the response";
    n.host->stream.write(served("for " + hex(1)));
    EXPECT_TRUE(n.run([&] { return done; }, 2s));
    EXPECT_EQ(n.client->got, answer(1));
}

TEST(DrainEnds, RequestsThatArriveDuringTheDrainAreAnswered) {
    OneInFlight n;
    ASSERT_TRUE(n.host);
    n.node->drain(0ms, 400ms, [] {});
    n.pass(50ms);
    n.hosts[0]->respond = [](Accepting::Peer&, const Words&) {};
    n.client->stream.write(submit(2, "SHEET") + ping());
    n.pass(20ms);
    n.host->stream.write(served("for " + hex(1)));
    ASSERT_TRUE(n.run([&] { return n.client->got.ends_with(pong); }, 1s))
        << "the response precedes the request's deadline";
    EXPECT_TRUE(n.client->got.starts_with(answer(1) + "-")) << n.client->got;
}

TEST(DrainEnds, AClientThatKeepsSendingIsClosed) {
    TestNode n;
    auto c = n.connect();
    bool done = false;
    n.node->drain(0ms, 300ms, [&] { done = true; });
    int sent = 0;
    EXPECT_TRUE(n.run(
        [&] {
            if (!c->over())
                c->stream.write(ping()), ++sent;
            else
                c->stream.close();
            return done;
        },
        3s));
    EXPECT_GT(sent, 0);
}

namespace {
// Records the outcomes of attempts.
struct RecordedEnds : upstream_resp::AttemptCallbacks {
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
    test_support::OnLoop on;
    Host host(on.loop);
    RecordedEnds ends;
    upstream_resp::UpstreamLimits limits;
    limits.non_idempotent_reuse_limit = 300ms;
    upstream_resp::Upstream up(on.loop, limits, ends);
    up.update_hosts(*platform::read_targets(Discovery::list(1, true, host.target("s-1"))));
    const auto send = [&](RequestId id, bool repeatable) {
        auto command = std::make_shared<platform::UpstreamCommand>();
        resp::append_array(command->prefix, 4);
        for (const char* w : {"SVC.QUERY", "0000000000000007", "0000000000000001"})
            resp::append_bulk(command->prefix, w);
        command->list_before_deadline = "c=sell,d=", command->is_idempotent = repeatable;
        ends.outcomes.clear();
        up.send({id, 0}, "s-1", command);
        EXPECT_TRUE(on.run([&] { return !ends.outcomes.empty(); }, 1s));
        EXPECT_EQ(ends.outcomes, std::vector<Outcome>{Outcome::success});
        return host.peers.size();
    };
    EXPECT_EQ(send(1, false), 1u);
    EXPECT_EQ(send(2, false), 1u) << "the connection was used recently";
    on.pass(400ms);
    EXPECT_EQ(send(3, false), 2u) << "the connection is idle for longer than the limit";
    on.pass(400ms);
    EXPECT_EQ(send(4, true), 2u) << "an idempotent request reuses the connection";
}

TEST(HostEnds, APendingConnectionServesTheNextAttempt) {
    LateHost late;
    test_support::OnLoop on;
    RecordedEnds ends;
    upstream_resp::UpstreamLimits limits;
    limits.connect_timeout = 50ms;
    upstream_resp::Upstream up(on.loop, limits, ends);
    up.update_hosts(*platform::read_targets(Discovery::list(1, true, target(late))));
    auto command = std::make_shared<platform::UpstreamCommand>();
    command->prefix = "*1\r\n$4\r\nPING\r\n";
    up.send({1, 0}, "s-1", command);
    ASSERT_TRUE(on.run([&] { return ends.outcomes.size() == 1; }, 1s));
    EXPECT_EQ(ends.outcomes[0], Outcome::connect_failed);
    ASSERT_TRUE(on.run([&] { return late.bytes() > 0 || late.taken() > 0; }, 1800ms))
        << "the host accepts the pending connection";
    on.pass(20ms);
    up.send({2, 0}, "s-1", command);
    EXPECT_TRUE(on.run([&] { return late.bytes() > 0; }, 1s))
        << "sent on the connection that was pending";
    EXPECT_EQ(up.stats().connections.opened, 1u);
}

TEST(HostEnds, AtTheConnectionLimitAnAttemptEndsAsNotStarted) {
    LateHost late;
    test_support::OnLoop on;
    RecordedEnds ends;
    upstream_resp::UpstreamLimits limits;
    limits.max_connections = 1;
    upstream_resp::Upstream up(on.loop, limits, ends);
    up.update_hosts(*platform::read_targets(Discovery::list(1, true, target(late))));
    auto command = std::make_shared<platform::UpstreamCommand>();
    up.send({1, 0}, "s-1", command);
    up.send({2, 0}, "s-1", command);
    EXPECT_EQ(ends.outcomes, std::vector<Outcome>{Outcome::not_started})
        << "no connection was tried";
    up.send({3, 0}, "s-none", command);
    EXPECT_EQ(ends.outcomes.back(), Outcome::connect_failed) << "the host has no known address";
}
