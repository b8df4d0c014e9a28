// Misbehaving hosts, end to end: checked by what scripted hosts and clients receive.
#include <fcntl.h>
#include <sys/resource.h>

#include "rig.h"
#include "tests/support/delayed_accept_host.h"

using namespace rig;

namespace {
const char* const complete_response = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
std::string post(const std::string& path, const std::string& fields = "") {
    return "POST " + path + " HTTP/1.1\r\nHost: h\r\nConnection: close\r\n" + fields +
           "Content-Length: 3\r\n\r\nabc";
}
}  // namespace

TEST(Hosts, ARejectionIsRetriedElsewhereAndAPlain503MayHaveRun) {
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
        << "rejected, so even a non-idempotent one is retried";
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
    EXPECT_EQ(plain.requests(), 1u) << "it may have run";
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
    EXPECT_EQ(status(without.talk(post("/keyed"))), 502) << "without a key it is not idempotent";
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
                ASSERT_TRUE(g.run_until([&] { return c->is_closed(); }));
                EXPECT_TRUE(c->has_failed) << start << c->received;
                EXPECT_FALSE(c->received.ends_with("0\r\n\r\n"));
                EXPECT_EQ(g.requests(), 1u) << "its response had begun";
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
    g.run_until([] { return false; }, 30ms);
    EXPECT_EQ(status(g.talk(post("/a"))), 200);
    EXPECT_EQ(g.hosts[0]->peers.size(), 2u);
}

TEST(Hosts, BytesBehindAResponseAreNoResponseToTheNext) {
    TestGateway g;
    g.hosts[0]->respond = [](ScriptedHost::Peer& p, const std::string&) {
        p.stream.write(std::string(complete_response) + complete_response);
    };
    EXPECT_EQ(status(g.talk(TestGateway::get("/a"))), 200);
    EXPECT_EQ(status(g.talk(TestGateway::get("/a"))), 200);
    EXPECT_EQ(g.hosts[0]->peers.size(), 2u);
}

TEST(Hosts, AnEarlyResponseEndsTheConnectionNotTheRequest) {
    Options o;
    o.listen = "max_body_bytes: 33554432";
    TestGateway g(o);
    // Answers on the first bytes and reads nothing more: most of the body never leaves the gateway.
    struct Early : event::StreamOwner {
        std::unique_ptr<event::Stream> stream;
        void on_data(std::string_view) override {
            stream->set_reading(false);
            stream->write("HTTP/1.1 413 Too Large\r\nContent-Length: 2\r\n\r\nno");
        }
        void on_end() override {}
        void on_error(int) override {}
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
    g.run_until([] { return false; }, 600ms);
    const std::string body(std::size_t{20} * 1024 * 1024, 'x');
    const std::string answer =
        g.talk("PUT /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: " +
               std::to_string(body.size()) + "\r\n\r\n" + body);
    EXPECT_EQ(status(answer), 413) << answer.substr(0, 200);
}

TEST(Hosts, AMalformedResponseIsABadGateway) {
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
            << "only a safe one is rejected: " << answer;
        const std::size_t sent = g.requests();
        g.run_until([] { return false; }, 300ms);
        EXPECT_EQ(g.requests(), sent);
    }
}

TEST(Hosts, RefusedConnectionsAreKnownNotToHaveRun) {
    Options o;
    o.hosts = 3;
    TestGateway g(o);
    g.hosts[0]->listener.stop();
    g.hosts[1]->listener.stop();
    for (int i = 0; i < 10; ++i)
        EXPECT_EQ(status(g.talk(post("/a"))), 200) << i;
    EXPECT_EQ(g.hosts[2]->requests.size(), 10u) << "each once";
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
        ASSERT_TRUE(g.run_until([&] { return g.requests() == 1; }));
        c->stream.reset();
    }
    g.run_until([] { return false; }, 700ms);
    EXPECT_EQ(g.requests(), 1u) << "no hedged request for a disconnected client";
}

TEST(Hosts, AChangedEndpointListIsAppliedAndAnInvalidOneIsNot) {
    Options o;
    o.hosts = 2;
    TestGateway g(o);
    auto first = std::move(g.hosts[0]);
    g.hosts.erase(g.hosts.begin());
    g.list_hosts();
    g.run_until([] { return false; }, 600ms);
    for (int i = 0; i < 10; ++i)
        EXPECT_EQ(status(g.talk(TestGateway::get("/a"))), 200);
    EXPECT_EQ(g.hosts[0]->requests.size(), 10u);
    g.write("hosts.json", R"({"clusterName":"hosts","endpoints":[{"lbEndpoints":[{}]}]})");
    g.run_until([] { return false; }, 600ms);
    EXPECT_EQ(status(g.talk(TestGateway::get("/a"))), 200) << "the last good list stays";
}

TEST(Scale, TenThousandIdleClientsAndOneThatWorks) {
    rlimit limit{};
    getrlimit(RLIMIT_NOFILE, &limit);
    const rlimit before = limit;
    limit.rlim_cur = limit.rlim_max;
    setrlimit(RLIMIT_NOFILE, &limit);
    // Both ends live in this process; with fewer descriptors than that the test takes as many as it
    // may.
    const std::size_t wanted = std::min<std::size_t>(10'000, limit.rlim_cur / 2 - 200);
    if (wanted < 10'000) std::cout << "descriptors for " << wanted << " clients only\n";
    Options o;
    o.listen = "max_connections: 20000";
    TestGateway g(o);
    std::vector<std::unique_ptr<Client>> idle;
    while (idle.size() < wanted) {
        for (int i = 0; i < 200 && idle.size() < wanted; ++i)
            idle.push_back(g.connect());
        g.run_until([] { return false; }, 5ms);
    }
    g.run_until([] { return false; }, 200ms);
    EXPECT_EQ(status(g.talk(TestGateway::get("/a"))), 200);
    for (const auto& c : idle)
        ASSERT_FALSE(c->is_closed());
    idle.clear();
    setrlimit(RLIMIT_NOFILE, &before);
}

TEST(Scale, DescriptorsUsedUpCloseNewClientsAndServeTheOld) {
    TestGateway g;
    auto kept = g.connect();
    kept->stream.write("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
    ASSERT_TRUE(g.run_until([&] { return has(kept->received, "ok"); }));
    auto fresh = g.connect();  // its own end is open; the gateway's comes when nothing is left
    rlimit before{};
    getrlimit(RLIMIT_NOFILE, &before);
    // All numbers below the lowest free one are in use: from here on the next one is refused.
    event::Fd lowest(open("/dev/null", O_RDONLY));
    rlimit none = before;
    none.rlim_cur = static_cast<rlim_t>(lowest.get());
    lowest.reset();
    setrlimit(RLIMIT_NOFILE, &none);
    EXPECT_TRUE(g.run_until([&] { return fresh->is_closed(); }))
        << "closed at once, not left waiting";
    kept->received.clear();
    kept->stream.write("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
    EXPECT_TRUE(g.run_until([&] { return has(kept->received, "ok"); }))
        << "an idle connection to the host serves it";
    setrlimit(RLIMIT_NOFILE, &before);
    EXPECT_EQ(status(g.talk(TestGateway::get("/a"))), 200);
}

TEST(Scale, MoreClientsThanConfiguredAreClosedAtOnce) {
    Options o;
    o.listen = "max_connections: 2";
    TestGateway g(o);
    auto a = g.connect(), b = g.connect();
    g.run_until([] { return false; }, 30ms);
    auto c = g.connect();
    EXPECT_TRUE(g.run_until([&] { return c->is_closed(); }));
    EXPECT_FALSE(a->is_closed());
    EXPECT_FALSE(b->is_closed());
}

TEST(Hosts, NothingBeginsForAClientThatDisconnectsWhileTheConnectionIsPending) {
    test_support::DelayedAcceptHost late;
    Options o;
    o.hosts = 0, o.other_port = late.port(), o.connect_ms = 3000, o.deadline_ms = 3000;
    TestGateway g(o);
    {
        auto c = g.connect();
        c->stream.write(post("/a"));
        g.run_for(50ms);
    }
    g.run_for(10ms);
    // One that still waits comes up after a second.
    EXPECT_FALSE(g.run_until([&] { return late.received_bytes() > 0; }, 1500ms));
}
