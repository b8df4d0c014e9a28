// Tests the connection pool that both protocols share, over loopback, with a connection class that
// writes no bytes.
#include "upstream/common/connection_pool.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include "event/listener.h"
#include "tests/support/loopback.h"

using namespace silverreach;
using namespace silverreach::upstream;
using namespace std::chrono_literals;
using State = PooledConnection::State;

namespace {
class FakeConnection : public PooledConnection {
  public:
    FakeConnection(event::Loop& loop, ConnectionPool& pool, HostConnections& host, event::Fd fd)
        : PooledConnection(loop, pool, host, std::move(fd)), pool_(pool) {}
    void begin() {
        begin_exchange({1, 0});
        if (state() == State::starting) mark_request_written();
    }
    void end() { end_exchange(); }

  private:
    void on_ready() override { mark_request_written(); }
    void move_exchange() override {
        end();
        pool_.release(*this, false);
    }
    void on_response_bytes(std::string_view) override { mark_response_started(); }
    void on_remote_close() override {}
    void on_exchange_error(int) override {}

    ConnectionPool& pool_;
};

// A host that accepts connections and keeps them open.
struct FakeHost {
    std::vector<event::Fd> accepted;
    event::Listener listener;
    explicit FakeHost(event::Loop& loop)
        : listener(
              loop, "127.0.0.1", 0, false, [] { return true; },
              [this](event::Fd fd, const std::string&) { accepted.push_back(std::move(fd)); }) {}
    config::Endpoint address() const {
        return *config::parse_endpoint("127.0.0.1:" + std::to_string(listener.port()));
    }
    HostUpdate update(const std::string& name, bool available = true) const {
        return {name, available, address()};
    }
};

struct ConnectionPoolTest : test_support::LoopRunner, testing::Test {
    FakeHost host{loop};
    PoolPolicy policy;
    std::unique_ptr<ConnectionPool> pool;

    ConnectionPoolTest() {
        policy.idle_timeout = 10s;
        policy.pending_timeout = 10s;
        policy.sweep_interval = 20ms;
    }
    void start() {
        pool = std::make_unique<ConnectionPool>(
            loop, policy, [this](HostConnections& connections, event::Fd fd) {
                return std::make_unique<FakeConnection>(loop, *pool, connections, std::move(fd));
            });
        pool->update_hosts(true, {host.update("a"), host.update("b"), host.update("c")});
    }
    FakeConnection* acquire(const std::string& name, const ExchangeTraits& traits = {}) const {
        const auto acquired = pool->acquire(name, traits);
        const auto* connection = std::get_if<PooledConnection*>(&acquired);
        return connection ? static_cast<FakeConnection*>(*connection) : nullptr;
    }
    // Starts an exchange and waits until its connection is established.
    FakeConnection* begin(const std::string& name) {
        FakeConnection* connection = acquire(name);
        connection->begin();
        EXPECT_TRUE(run_until([&] { return connection->is_connected(); }));
        return connection;
    }
    void end(FakeConnection* connection, bool reusable = true) const {
        connection->end();
        pool->release(*connection, reusable);
    }
    // Starts an exchange on the connection on which another one has just ended.
    FakeConnection* begin_behind_another() {
        FakeConnection* connection = begin("a");
        EXPECT_TRUE(run_until([&] { return !host.accepted.empty(); }));
        end(connection);
        EXPECT_EQ(acquire("a"), connection);
        connection->begin();
        EXPECT_EQ(connection->state(), State::resting);
        return connection;
    }
    void send_late_byte() const { ASSERT_EQ(::write(host.accepted[0].get(), "x", 1), 1); }
    AcquireError error_of(const std::string& name, const ExchangeTraits& traits = {}) const {
        return std::get<AcquireError>(pool->acquire(name, traits));
    }
};
}  // namespace

TEST_F(ConnectionPoolTest, StateFollowsTheExchange) {
    start();
    FakeConnection* connection = acquire("a");
    ASSERT_TRUE(connection);
    EXPECT_EQ(connection->state(), State::pending);
    connection->begin();
    EXPECT_EQ(connection->state(), State::connecting);
    ASSERT_TRUE(run_until([&] { return connection->state() == State::awaiting_response; }));
    ASSERT_TRUE(run_until([&] { return !host.accepted.empty(); }));
    ASSERT_EQ(::write(host.accepted[0].get(), "x", 1), 1);
    ASSERT_TRUE(run_until([&] { return connection->state() == State::receiving_body; }));
    end(connection);
    EXPECT_EQ(connection->state(), State::idle);
    connection->retire();
    EXPECT_EQ(connection->state(), State::closed);
}

TEST_F(ConnectionPoolTest, ReusesTheMostRecentlyUsedConnection) {
    start();
    FakeConnection* first = begin("a");
    FakeConnection* second = begin("a");
    end(second);
    end(first);
    EXPECT_EQ(acquire("a"), first);
    EXPECT_EQ(acquire("a"), second);
    EXPECT_EQ(pool->stats().reused, 2u);
    EXPECT_EQ(pool->stats().opened, 2u);
}

TEST_F(ConnectionPoolTest, HostLimitAppliesToRequestsButNotToHealthChecks) {
    policy.max_in_use_per_host = 1;
    start();
    ASSERT_TRUE(acquire("a"));
    EXPECT_EQ(error_of("a"), AcquireError::host_limit_reached);
    EXPECT_TRUE(acquire("b")) << "the limit applies to each host separately";
    EXPECT_TRUE(acquire("a", {.idempotent = true, .health_check = true}));
}

TEST_F(ConnectionPoolTest, PoolLimitEvictsTheConnectionThatHasBeenIdleLongest) {
    policy.max_connections = 2;
    start();
    FakeConnection* older = begin("a");
    FakeConnection* newer = begin("b");
    end(older);
    run_for(5ms);
    end(newer);
    EXPECT_TRUE(acquire("c"));
    EXPECT_EQ(older->state(), State::closed);
    EXPECT_EQ(acquire("b"), newer) << "the newer connection was not evicted";
    EXPECT_EQ(error_of("a"), AcquireError::pool_limit_reached) << "all connections are in use";
    EXPECT_EQ(pool->stats().full, 1u);
    EXPECT_EQ(pool->stats().open, 2u);
}

TEST_F(ConnectionPoolTest, UnknownHostsHaveNoConnections) {
    start();
    EXPECT_EQ(error_of("d"), AcquireError::unknown_host);
    pool->add_host("d", std::nullopt);
    EXPECT_EQ(error_of("d"), AcquireError::unknown_host);
}

TEST_F(ConnectionPoolTest, UnlistedHostsKeepOnlyConnectionsInUse) {
    start();
    FakeConnection* idle = begin("a");
    FakeConnection* in_use = begin("a");
    end(idle);
    pool->update_hosts(true, {host.update("b")});
    EXPECT_EQ(pool->stats().open, 1u);
    EXPECT_EQ(pool->stats().hosts, 3u);
    end(in_use);
    EXPECT_EQ(pool->stats().open, 0u) << "the connection closes at the end of its exchange";
    EXPECT_TRUE(run_until([&] { return pool->stats().hosts == 1; })) << "the pool removes the host";
}

TEST_F(ConnectionPoolTest, IdleConnectionsAreClosedAtTheirTimeout) {
    policy.idle_timeout = 50ms;
    start();
    end(begin("a"));
    EXPECT_FALSE(run_until([&] { return pool->stats().open == 0; }, 30ms));
    EXPECT_TRUE(run_until([&] { return pool->stats().open == 0; }, 1s));
}

TEST_F(ConnectionPoolTest, NonIdempotentRequestsReuseOnlyRecentConnections) {
    policy.reuse.non_idempotent_limit = 20ms;
    start();
    FakeConnection* rested = begin("a");
    end(rested);
    run_for(30ms);
    EXPECT_NE(acquire("a", {.idempotent = false}), rested);
    EXPECT_EQ(acquire("a"), rested);
}

// Guards against a second copy of a response that counts as the response to the next request.
TEST_F(ConnectionPoolTest, ARequestIsWrittenAfterTheRestOfItsConnection) {
    policy.reuse.rest = 20ms;
    start();
    FakeConnection* connection = begin_behind_another();
    const Micros ended_at = *connection->exchange_ended_at();
    EXPECT_FALSE(connection->request_sent());
    ASSERT_TRUE(run_until([&] { return connection->state() == State::awaiting_response; }));
    EXPECT_GE(loop.now() - ended_at, 20ms);
    EXPECT_EQ(pool->stats().waited, 1u);
}

// Guards against the first late response of a host that has sent none for long.
TEST_F(ConnectionPoolTest, AConnectionRestsHoweverManyRestsWereClean) {
    constexpr std::uint64_t clean_rests = 120;
    policy.reuse = default_reuse;
    policy.reuse.rest = 2ms;
    start();
    FakeConnection* connection = begin("a");
    for (std::uint64_t i = 1; i <= clean_rests; ++i) {
        end(connection);
        ASSERT_EQ(acquire("a"), connection);
        connection->begin();
        ASSERT_EQ(connection->state(), State::resting) << "after " << i << " exchanges";
        ASSERT_TRUE(run_until([&] { return connection->state() != State::resting; }));
    }
    EXPECT_EQ(pool->stats().waited, clean_rests);
}

TEST_F(ConnectionPoolTest, BytesOrACloseDuringTheRestMoveTheExchange) {
    for (const bool sends_bytes : {true, false}) {
        policy.reuse.rest = 10s;
        start();
        host.accepted.clear();
        begin_behind_another();
        if (sends_bytes)
            send_late_byte();
        else
            host.accepted.clear();
        EXPECT_TRUE(run_until([&] { return pool->stats().open == 0; }));
        EXPECT_EQ(pool->stats().unsolicited, sends_bytes ? 1u : 0u);
        EXPECT_EQ(pool->stats().stale, sends_bytes ? 0u : 1u);
    }
}

TEST_F(ConnectionPoolTest, BytesThatAreNotReadYetAtTheEndOfTheRestMoveTheExchange) {
    policy.reuse.rest = 20ms;
    start();
    begin_behind_another();
    ::usleep(30'000);
    send_late_byte();
    EXPECT_TRUE(run_until([&] { return pool->stats().open == 0; }));
    EXPECT_EQ(pool->stats().unsolicited, 1u);
}

TEST_F(ConnectionPoolTest, AnExchangeThatEndsDuringTheRestLeavesItsConnectionToTheNext) {
    policy.reuse.rest = 10s;
    start();
    FakeConnection* connection = begin_behind_another();
    end(connection);
    EXPECT_EQ(connection->state(), State::idle);
    EXPECT_EQ(acquire("a"), connection);
    connection->begin();
    EXPECT_EQ(connection->state(), State::resting) << "the rest goes on";
}

TEST_F(ConnectionPoolTest, AConnectionToAnOldAddressIsNotUsedAfterItsRest) {
    policy.reuse.rest = 20ms;
    start();
    begin_behind_another();
    HostUpdate update = host.update("a");
    ++update.address->port;
    pool->update_hosts(false, {update});
    EXPECT_TRUE(run_until([&] { return pool->stats().open == 0; }));
}

TEST_F(ConnectionPoolTest, BytesDuringTheRestCloseTheConnection) {
    policy.reuse.rest = 20ms;
    start();
    end(begin("a"));
    ASSERT_TRUE(run_until([&] { return host.accepted.size() == 1; }));
    send_late_byte();
    EXPECT_TRUE(run_until([&] { return pool->stats().open == 0; }, 1s));
    EXPECT_EQ(pool->stats().unsolicited, 1u);
}

TEST_F(ConnectionPoolTest, RestingConnectionsCountTowardsTheHostLimit) {
    policy.reuse = {.rest = 10s, .max_resting_to_open = 8};
    policy.max_in_use_per_host = 2;
    start();
    FakeConnection* first = begin("a");
    FakeConnection* second = begin("a");
    end(first);
    run_for(2ms);
    end(second);
    EXPECT_EQ(acquire("a"), first) << "its rest ends first";
    EXPECT_EQ(acquire("a"), second);
    EXPECT_EQ(pool->stats().opened, 2u);
}

TEST_F(ConnectionPoolTest, ConnectionsClosedByTheirHostAreDropped) {
    start();
    end(begin("a"));
    ASSERT_TRUE(run_until([&] { return host.accepted.size() == 1; }));
    host.accepted.clear();
    EXPECT_TRUE(run_until([&] { return pool->stats().open == 0; }));
    EXPECT_EQ(pool->stats().stale, 1u);
}

TEST_F(ConnectionPoolTest, KeepsConnectionsWhoseHandshakeOutlastsTheExchange) {
    policy.max_pending_per_host = 1;
    start();
    FakeConnection* kept = acquire("a");
    FakeConnection* dropped = acquire("a");
    kept->begin();
    dropped->begin();
    end(kept);
    end(dropped);
    EXPECT_EQ(kept->state(), State::pending);
    EXPECT_EQ(dropped->state(), State::closed);
    ASSERT_TRUE(run_until([&] { return kept->state() == State::idle; }));
    EXPECT_EQ(acquire("a"), kept);
}
