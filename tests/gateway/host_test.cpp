// Misbehaving hosts, end to end, checked by what scripted hosts and clients receive.
#include <fcntl.h>
#include <sys/resource.h>

#include "rig.h"
#include "tests/support/late_host.h"

using namespace rig;

namespace {
const char* const complete_response = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
std::string post(const std::string& path, const std::string& fields = "") {
    return "POST " + path + " HTTP/1.1\r\nHost: h\r\nConnection: close\r\n" + fields +
           "Content-Length: 3\r\n\r\nabc";
}
}  // namespace

TEST(Hosts, ARejectionIsRetriedOnAnotherHostAndAPlain503IsNot) {
    Options o;
    o.hosts = 2;
    TestGateway g(o);
    for (auto& h : g.hosts)
        h->respond = [&](ScriptedHost::Peer& p, const std::string&) {
            p.stream.write(g.requests() == 1
                               ? "HTTP/1.1 503 x\r\nFull: 1\r\nContent-Length: 4\r\n\r\nfull"
                               : complete_response);
        };
    EXPECT_EQ(status(g.talk(post("/a"))), 200)
        << "a rejected request is retried even if it is not idempotent";
    EXPECT_EQ(g.requests(), 2u);
    EXPECT_TRUE(g.hosts[0]->bytes.find("Silverreach-Attempt: 1") != std::string::npos ||
                has(g.hosts[1]->bytes, "Silverreach-Attempt: 1"));
    TestGateway plain(o);
    for (auto& h : plain.hosts)
        h->respond = [&](ScriptedHost::Peer& p, const std::string&) {
            p.stream.write("HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n");
        };
    const std::string answer = plain.talk(post("/a"));
    EXPECT_EQ(status(answer), 502) << answer;
    EXPECT_TRUE(has(answer, "bad-answer"));
    EXPECT_EQ(plain.requests(), 1u) << "the host may have executed the request";
}

TEST(Hosts, AnIdempotentRetryCarriesTheSameKeyAndRequestId) {
    Options o;
    o.hosts = 2;
    TestGateway g(o);
    for (auto& h : g.hosts)
        h->respond = [&](ScriptedHost::Peer& p, const std::string&) {
            if (g.requests() == 1)
                p.stream.reset();
            else
                p.stream.write(complete_response);
        };
    EXPECT_EQ(status(g.talk(post("/keyed", "Idempotency-Key: once\r\nX-Request-Id: same\r\n"))),
              200);
    ASSERT_EQ(g.requests(), 2u);
    for (auto& h : g.hosts)
        for (const std::string& r : h->requests) {
            EXPECT_TRUE(has(r, "Idempotency-Key: once\r\n"));
            EXPECT_TRUE(has(r, "X-Request-Id: same\r\n"));
        }
    TestGateway without(o);
    for (auto& h : without.hosts)
        h->respond = [](ScriptedHost::Peer& p, const std::string&) { p.stream.reset(); };
    EXPECT_EQ(status(without.talk(post("/keyed"))), 502)
        << "without a key the request is not idempotent";
    EXPECT_EQ(without.requests(), 1u);
}

TEST(Hosts, ATruncatedResponseNeverLooksComplete) {
    const std::vector<std::string> starts = {
        "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nhalf"};
    for (const std::string& start : starts)
        for (const bool reset : {false, true})
            for (const std::string version : {"1.1", "1.0"}) {
                TestGateway g;
                g.hosts[0]->respond = [&](ScriptedHost::Peer& p, const std::string&) {
                    p.stream.write(start);
                    g.loop.after(30ms,
                                 [&p, reset] { reset ? p.stream.reset() : p.stream.close(); });
                };
                auto c = g.connect();
                c->stream.write("GET /a HTTP/" + version + "\r\nHost: h\r\n\r\n");
                ASSERT_TRUE(g.run([&] { return c->over(); }));
                EXPECT_TRUE(c->broken) << start << c->got;
                EXPECT_FALSE(c->got.ends_with("0\r\n\r\n"));
                EXPECT_EQ(g.requests(), 1u) << "no retry after the response began";
            }
}

TEST(Hosts, AResetOnAReusedConnectionIsNotRetriedIfNotIdempotent) {
    TestGateway g;
    ASSERT_EQ(status(g.talk(post("/a"))), 200);
    g.hosts[0]->respond = [](ScriptedHost::Peer& p, const std::string&) { p.stream.reset(); };
    EXPECT_EQ(status(g.talk(post("/a"))), 502);
    EXPECT_EQ(g.hosts[0]->peers.size(), 1u) << "the connection was reused";
    EXPECT_EQ(g.requests(), 2u);
}

TEST(Hosts, AnIdleConnectionThatTheHostClosedIsNotReused) {
    TestGateway g;
    ASSERT_EQ(status(g.talk(post("/a"))), 200);
    g.hosts[0]->peers[0]->stream.close();
    g.run([] { return false; }, 30ms);
    EXPECT_EQ(status(g.talk(post("/a"))), 200);
    EXPECT_EQ(g.hosts[0]->peers.size(), 2u);
}

TEST(Hosts, ExcessBytesAfterAResponseAreNotTheNextResponse) {
    TestGateway g;
    g.hosts[0]->respond = [](ScriptedHost::Peer& p, const std::string&) {
        p.stream.write(std::string(complete_response) + complete_response);
    };
    EXPECT_EQ(status(g.talk(TestGateway::get("/a"))), 200);
    EXPECT_EQ(status(g.talk(TestGateway::get("/a"))), 200);
    EXPECT_EQ(g.hosts[0]->peers.size(), 2u);
}

TEST(Hosts, AnEarlyResponseIsForwardedBeforeTheBodyIsSent) {
    Options o;
    o.listen = "max_body_bytes: 33554432";
    TestGateway g(o);
    // Responds to the first bytes and stops reading, so most of the body never leaves the gateway.
    struct Early : event::StreamOwner {
        std::unique_ptr<event::Stream> stream;
        void on_data(std::string_view) override {
            stream->read(false);
            stream->write("HTTP/1.1 413 Too Large\r\nContent-Length: 2\r\n\r\nno");
        }
        void on_end() override {}
        void on_broken(int) override {}
    } early;
    event::Listener listener(
        g.loop, "127.0.0.1", 0, false, [] { return true; },
        [&](event::Fd fd, const std::string&) {
            early.stream = std::make_unique<event::Stream>(g.loop, std::move(fd), early);
        });
    g.write(
        "hosts.json",
        R"({"clusterName":"hosts","endpoints":[{"lbEndpoints":[{"endpoint":{"address":{"socketAddress":{"address":"127.0.0.1","portValue":)" +
            std::to_string(listener.port()) + "}}}}]}]}");
    g.run([] { return false; }, 600ms);
    const std::string body(std::size_t{20} * 1024 * 1024, 'x');
    const std::string answer =
        g.talk("PUT /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: " +
               std::to_string(body.size()) + "\r\n\r\n" + body);
    EXPECT_EQ(status(answer), 413) << answer.substr(0, 200);
}

TEST(Hosts, AMalformedResponseIsAnswered502) {
    for (const char* bad :
         {"hello\r\n\r\n", "HTTP/1.1 200 OK\nContent-Length: 2\n\nok\r\n\r\n",
          "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\nok",
          "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok",
          "HTTP/1.1 101 Switching Protocols\r\n\r\n\x01\x02\r\n\r\n"}) {
        TestGateway g;
        g.hosts[0]->respond = [&](ScriptedHost::Peer& p, const std::string&) {
            p.stream.write(bad);
        };
        EXPECT_EQ(status(g.talk(post("/a"))), 502) << bad;
    }
}

TEST(Hosts, AnUnresponsiveHostEndsAtTheDeadlineAndNothingIsSentAfterwards) {
    for (const std::string path : {"/a", "/safe", "/keyed"}) {
        Options o;
        o.hosts = 2;
        TestGateway g(o);
        for (auto& h : g.hosts)
            h->respond = nullptr;
        const auto begin = event::Loop::clock();
        const std::string answer =
            g.talk(post(path, "X-Deadline-Ms: 400\r\nIdempotency-Key: k\r\n"));
        EXPECT_EQ(status(answer), 504) << answer;
        EXPECT_LT(event::Loop::clock() - begin, 400ms + 150ms);
        EXPECT_EQ(has(answer, "no-time"), path != "/safe")
            << "only a safe request is rejected: " << answer;
        const std::size_t sent = g.requests();
        g.run([] { return false; }, 300ms);
        EXPECT_EQ(g.requests(), sent);
    }
}

TEST(Hosts, RefusedConnectionsAreRetriedEvenIfNotIdempotent) {
    Options o;
    o.hosts = 3;
    TestGateway g(o);
    g.hosts[0]->listener.stop();
    g.hosts[1]->listener.stop();
    for (int i = 0; i < 10; ++i)
        EXPECT_EQ(status(g.talk(post("/a"))), 200) << i;
    EXPECT_EQ(g.hosts[2]->requests.size(), 10u) << "each request runs once";
}

TEST(Hosts, NothingIsForwardedForADisconnectedClient) {
    Options o;
    o.hosts = 2;
    TestGateway g(o);
    for (auto& h : g.hosts)
        h->respond = nullptr;
    {
        auto c = g.connect();
        c->stream.write("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
        ASSERT_TRUE(g.run([&] { return g.requests() == 1; }));
        c->stream.reset();
    }
    g.run([] { return false; }, 700ms);
    EXPECT_EQ(g.requests(), 1u) << "no hedged request for a disconnected client";
}

TEST(Hosts, AChangedEndpointListIsAppliedAndAnInvalidOneIsNot) {
    Options o;
    o.hosts = 2;
    TestGateway g(o);
    auto first = std::move(g.hosts[0]);
    g.hosts.erase(g.hosts.begin());
    g.list_hosts();
    g.run([] { return false; }, 600ms);
    for (int i = 0; i < 10; ++i)
        EXPECT_EQ(status(g.talk(TestGateway::get("/a"))), 200);
    EXPECT_EQ(g.hosts[0]->requests.size(), 10u);
    g.write("hosts.json", R"({"clusterName":"hosts","endpoints":[{"lbEndpoints":[{}]}]})");
    g.run([] { return false; }, 600ms);
    EXPECT_EQ(status(g.talk(TestGateway::get("/a"))), 200) << "the last valid list stays in use";
}

TEST(Scale, TenThousandIdleClientsDoNotBlockAnActiveOne) {
    rlimit limit{};
    getrlimit(RLIMIT_NOFILE, &limit);
    const rlimit before = limit;
    limit.rlim_cur = limit.rlim_max;
    setrlimit(RLIMIT_NOFILE, &limit);
    // Both ends of each connection use a descriptor of this process. If the limit is lower, the
    // test opens as many clients as the limit permits.
    const std::size_t wanted = std::min<std::size_t>(10'000, limit.rlim_cur / 2 - 200);
    if (wanted < 10'000)
        std::cout << "the descriptor limit permits only " << wanted << " clients\n";
    Options o;
    o.listen = "max_connections: 20000";
    TestGateway g(o);
    std::vector<std::unique_ptr<Client>> idle;
    while (idle.size() < wanted) {
        for (int i = 0; i < 200 && idle.size() < wanted; ++i)
            idle.push_back(g.connect());
        g.run([] { return false; }, 5ms);
    }
    g.run([] { return false; }, 200ms);
    EXPECT_EQ(status(g.talk(TestGateway::get("/a"))), 200);
    for (const auto& c : idle)
        ASSERT_FALSE(c->over());
    idle.clear();
    setrlimit(RLIMIT_NOFILE, &before);
}

TEST(Scale, WithoutDescriptorsNewClientsAreClosedAndOldOnesServed) {
    TestGateway g;
    auto kept = g.connect();
    kept->stream.write("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
    ASSERT_TRUE(g.run([&] { return has(kept->got, "ok"); }));
    auto fresh =
        g.connect();  // the client's end is open; the gateway accepts when no descriptor is left
    rlimit before{};
    getrlimit(RLIMIT_NOFILE, &before);
    // All descriptors below the lowest free one are in use, so opening another one fails from here
    // on.
    event::Fd lowest(open("/dev/null", O_RDONLY));
    rlimit none = before;
    none.rlim_cur = static_cast<rlim_t>(lowest.get());
    lowest.reset();
    setrlimit(RLIMIT_NOFILE, &none);
    EXPECT_TRUE(g.run([&] { return fresh->over(); }))
        << "the new client is closed instead of left waiting";
    kept->got.clear();
    kept->stream.write("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
    EXPECT_TRUE(g.run([&] { return has(kept->got, "ok"); }))
        << "an idle connection to the host serves the request";
    setrlimit(RLIMIT_NOFILE, &before);
    EXPECT_EQ(status(g.talk(TestGateway::get("/a"))), 200);
}

TEST(Scale, ClientsAboveTheConnectionLimitAreClosed) {
    Options o;
    o.listen = "max_connections: 2";
    TestGateway g(o);
    auto a = g.connect(), b = g.connect();
    g.run([] { return false; }, 30ms);
    auto c = g.connect();
    EXPECT_TRUE(g.run([&] { return c->over(); }));
    EXPECT_FALSE(a->over());
    EXPECT_FALSE(b->over());
}

TEST(Hosts, NothingIsSentForAClientThatDisconnectsDuringTheConnect) {
    test_support::LateHost late;
    Options o;
    o.hosts = 0, o.other_port = late.port(), o.connect_ms = 3000, o.deadline_ms = 3000;
    TestGateway g(o);
    {
        auto c = g.connect();
        c->stream.write(post("/a"));
        g.pass(50ms);
    }
    g.pass(10ms);
    // The system repeats the handshake after a second, so a connection that is still pending would
    // be established within this time.
    EXPECT_FALSE(g.run([&] { return late.bytes() > 0; }, 1500ms));
}
