// Misbehaving hosts, end to end, checked by what scripted hosts and clients receive.
#include <fcntl.h>
#include <sys/resource.h>

#include "test_gateway.h"
#include "tests/support/delayed_accept_host.h"

using namespace gateway_test;

namespace {
const char* const complete_response = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
std::string post_request(const std::string& path, const std::string& fields = "") {
    return "POST " + path + " HTTP/1.1\r\nHost: h\r\nConnection: close\r\n" + fields +
           "Content-Length: 3\r\n\r\nabc";
}
// A response whose body is the method and the path of its request.
std::string path_response(const std::string& request) {
    const std::string path = request.substr(0, request.find(" HTTP"));
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(path.size()) + "\r\n\r\n" + path;
}
// Longer than a connection to a host rests between two exchanges.
constexpr auto connection_rest = 25ms;
constexpr auto work_time = 10ms;  // of a host, longer than a late response is late
}  // namespace

TEST(Hosts, ARejectionIsRetriedOnAnotherHostAndAPlain503IsNot) {
    Options options;
    options.hosts = 2;
    TestGateway gateway(options);
    for (auto& host : gateway.hosts)
        host->respond = [&](ScriptedHost::Peer& peer, const std::string&) {
            peer.stream.write(gateway.request_count() == 1
                                  ? "HTTP/1.1 503 x\r\nFull: 1\r\nContent-Length: 4\r\n\r\nfull"
                                  : complete_response);
        };
    EXPECT_EQ(status(gateway.exchange(post_request("/a"))), 200)
        << "a rejected request is retried even if it is not idempotent";
    EXPECT_EQ(gateway.request_count(), 2u);
    EXPECT_TRUE(gateway.hosts[0]->bytes.find("Silverreach-Attempt: 1") != std::string::npos ||
                contains(gateway.hosts[1]->bytes, "Silverreach-Attempt: 1"));
    TestGateway plain(options);
    for (auto& host : plain.hosts)
        host->respond = [&](ScriptedHost::Peer& peer, const std::string&) {
            peer.stream.write("HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n");
        };
    const std::string response = plain.exchange(post_request("/a"));
    EXPECT_EQ(status(response), 502) << response;
    EXPECT_TRUE(contains(response, "bad-answer"));
    EXPECT_EQ(plain.request_count(), 1u) << "the host may have executed the request";
}

TEST(Hosts, AnIdempotentRetryCarriesTheSameKeyAndRequestId) {
    Options options;
    options.hosts = 2;
    TestGateway gateway(options);
    for (auto& host : gateway.hosts)
        host->respond = [&](ScriptedHost::Peer& peer, const std::string&) {
            if (gateway.request_count() == 1)
                peer.stream.reset();
            else
                peer.stream.write(complete_response);
        };
    EXPECT_EQ(status(gateway.exchange(
                  post_request("/keyed", "Idempotency-Key: once\r\nX-Request-Id: same\r\n"))),
              200);
    ASSERT_EQ(gateway.request_count(), 2u);
    for (auto& host : gateway.hosts)
        for (const std::string& request : host->requests) {
            EXPECT_TRUE(contains(request, "Idempotency-Key: once\r\n"));
            EXPECT_TRUE(contains(request, "X-Request-Id: same\r\n"));
        }
    TestGateway without_key(options);
    for (auto& host : without_key.hosts)
        host->respond = [](ScriptedHost::Peer& peer, const std::string&) { peer.stream.reset(); };
    EXPECT_EQ(status(without_key.exchange(post_request("/keyed"))), 502)
        << "without a key the request is not idempotent";
    EXPECT_EQ(without_key.request_count(), 1u);
}

// Guards against connections that are held by bodies which nobody reads and which never end, until
// the host's limit of connections is used up.
TEST(Hosts, AnErrorResponseWhoseBodyNeverEndsGivesItsConnectionBack) {
    constexpr int errors = 70;  // over the default of hosts.max_connections
    TestGateway gateway;
    ScriptedHost& host = *gateway.hosts[0];
    int error_count = 0;
    // One error among five responses leaves the host in use.
    host.respond = [&](ScriptedHost::Peer& peer, const std::string&) {
        const bool is_error = error_count < errors && gateway.request_count() % 5 == 0;
        error_count += is_error;
        peer.stream.write(is_error ? "HTTP/1.1 503 x\r\nContent-Length: 100\r\n\r\npart"
                                   : complete_response);
    };
    const auto end_time = event::Loop::clock() + 30s;
    while (error_count < errors && event::Loop::clock() < end_time)
        gateway.exchange(post_request("/a"), 500ms);
    EXPECT_EQ(error_count, errors);
    EXPECT_TRUE(gateway.run_until([&] { return host.ended_count >= error_count; }, 2s))
        << host.ended_count << " connections were given back";
    EXPECT_EQ(status(gateway.exchange(post_request("/a"))), 200);
}

TEST(Hosts, ATruncatedResponseNeverLooksComplete) {
    const std::vector<std::string> truncated_responses = {
        "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nhalf"};
    for (const std::string& truncated : truncated_responses)
        for (const bool reset : {false, true})
            for (const std::string version : {"1.1", "1.0"}) {
                TestGateway gateway;
                gateway.hosts[0]->respond = [&](ScriptedHost::Peer& peer, const std::string&) {
                    peer.stream.write(truncated);
                    gateway.loop.after(30ms, [&peer, reset] {
                        reset ? peer.stream.reset() : peer.stream.close();
                    });
                };
                auto client = gateway.connect();
                client->stream.write("GET /a HTTP/" + version + "\r\nHost: h\r\n\r\n");
                ASSERT_TRUE(gateway.run_until([&] { return client->is_closed(); }));
                EXPECT_TRUE(client->has_failed) << truncated << client->received;
                EXPECT_FALSE(client->received.ends_with("0\r\n\r\n"));
                EXPECT_EQ(gateway.request_count(), 1u) << "no retry after the response began";
            }
}

TEST(Hosts, AResetOnAReusedConnectionIsNotRetriedIfNotIdempotent) {
    TestGateway gateway;
    ASSERT_EQ(status(gateway.exchange(post_request("/a"))), 200);
    gateway.run_for(connection_rest);
    gateway.hosts[0]->respond = [](ScriptedHost::Peer& peer, const std::string&) {
        peer.stream.reset();
    };
    EXPECT_EQ(status(gateway.exchange(post_request("/a"))), 502);
    EXPECT_EQ(gateway.hosts[0]->peers.size(), 1u) << "the connection was reused";
    EXPECT_EQ(gateway.request_count(), 2u);
}

TEST(Hosts, AnIdleConnectionThatTheHostClosedIsNotReused) {
    TestGateway gateway;
    ASSERT_EQ(status(gateway.exchange(post_request("/a"))), 200);
    gateway.hosts[0]->peers[0]->stream.close();
    gateway.run_until([] { return false; }, 30ms);
    EXPECT_EQ(status(gateway.exchange(post_request("/a"))), 200);
    EXPECT_EQ(gateway.hosts[0]->peers.size(), 2u);
}

TEST(Hosts, ExcessBytesAfterAResponseAreNotTheNextResponse) {
    TestGateway gateway;
    gateway.hosts[0]->respond = [](ScriptedHost::Peer& peer, const std::string&) {
        peer.stream.write(std::string(complete_response) + complete_response);
    };
    EXPECT_EQ(status(gateway.exchange(TestGateway::get_request("/a"))), 200);
    EXPECT_EQ(status(gateway.exchange(TestGateway::get_request("/a"))), 200);
    EXPECT_EQ(gateway.hosts[0]->peers.size(), 2u);
}

// Guards against a second response that arrives late and is taken for the next request's response,
// so that a client is served the body of another. At a limit of one connection the next request
// waits for the rest of that one and moves when the late response arrives.
TEST(Hosts, ASecondResponseThatArrivesLateIsNotTheNextResponse) {
    for (const std::string limit : {"", "max_connections: 1"}) {
        Options options;
        options.hosts_fields = limit;
        TestGateway gateway(options);
        gateway.hosts[0]->respond = [&](ScriptedHost::Peer& peer, const std::string& request) {
            const auto respond = [&peer, response = path_response(request)] {
                peer.stream.write(response);
            };
            gateway.loop.after(work_time, respond);
            gateway.loop.after(work_time + 5ms, respond);
        };
        for (int i = 0; i < 20; ++i) {
            const std::string path = "/a/" + std::to_string(i);
            const std::string response = gateway.exchange(TestGateway::get_request(path));
            EXPECT_TRUE(response.ends_with("\r\n\r\nGET " + path)) << response;
        }
    }
}

// Guards against the same where the host begins to send second copies after many responses without
// one. At a limit of one connection each request follows another one on it.
TEST(Hosts, ASecondResponseAfterManyWithoutOneIsNotTheNextResponse) {
    constexpr int responses_without_copy = 120;
    Options options;
    options.hosts_fields = "max_connections: 1";
    TestGateway gateway(options);
    int response_count = 0;
    gateway.hosts[0]->respond = [&](ScriptedHost::Peer& peer, const std::string& request) {
        const auto respond = [&peer, response = path_response(request)] {
            peer.stream.write(response);
        };
        if (++response_count <= responses_without_copy) return respond();
        gateway.loop.after(work_time, respond);
        gateway.loop.after(work_time + 5ms, respond);
    };
    for (int i = 0; i < responses_without_copy + 20; ++i) {
        const std::string path = "/a/" + std::to_string(i);
        const std::string response = gateway.exchange(TestGateway::get_request(path));
        EXPECT_TRUE(response.ends_with("\r\n\r\nGET " + path)) << response;
    }
}

TEST(Hosts, AnEarlyResponseIsForwardedBeforeTheBodyIsSent) {
    Options options;
    options.listen_fields = "max_body_bytes: 33554432";
    TestGateway gateway(options);
    // Responds to the first bytes and stops reading, so most of the body never leaves the gateway.
    struct EarlyHost : event::StreamOwner {
        std::unique_ptr<event::Stream> stream;
        void on_data(std::string_view) override {
            stream->set_reading(false);
            stream->write("HTTP/1.1 413 Too Large\r\nContent-Length: 2\r\n\r\nno");
        }
        void on_end() override {}
        void on_error(int) override {}
    } early_host;
    event::Listener listener(
        gateway.loop, "127.0.0.1", 0, false, [] { return true; },
        [&](event::Fd fd, const std::string&) {
            early_host.stream =
                std::make_unique<event::Stream>(gateway.loop, std::move(fd), early_host);
        });
    gateway.write(
        "hosts.json",
        R"({"clusterName":"hosts","endpoints":[{"lbEndpoints":[{"endpoint":{"address":{"socketAddress":{"address":"127.0.0.1","portValue":)" +
            std::to_string(listener.port()) + "}}}}]}]}");
    gateway.run_until([] { return false; }, 600ms);
    const std::string body(std::size_t{20} * 1024 * 1024, 'x');
    const std::string response =
        gateway.exchange("PUT /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: " +
                         std::to_string(body.size()) + "\r\n\r\n" + body);
    EXPECT_EQ(status(response), 413) << response.substr(0, 200);
}

TEST(Hosts, AMalformedResponseIsAnswered502) {
    for (const char* malformed :
         {"hello\r\n\r\n", "HTTP/1.1 200 OK\nContent-Length: 2\n\nok\r\n\r\n",
          "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\nok",
          "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok",
          "HTTP/1.1 101 Switching Protocols\r\n\r\n\x01\x02\r\n\r\n"}) {
        TestGateway gateway;
        gateway.hosts[0]->respond = [&](ScriptedHost::Peer& peer, const std::string&) {
            peer.stream.write(malformed);
        };
        EXPECT_EQ(status(gateway.exchange(post_request("/a"))), 502) << malformed;
    }
}

TEST(Hosts, AnUnresponsiveHostEndsAtTheDeadlineAndNothingIsSentAfterwards) {
    for (const std::string path : {"/a", "/safe", "/keyed"}) {
        Options options;
        options.hosts = 2;
        TestGateway gateway(options);
        for (auto& host : gateway.hosts)
            host->respond = nullptr;
        const auto start = event::Loop::clock();
        const std::string response =
            gateway.exchange(post_request(path, "X-Deadline-Ms: 400\r\nIdempotency-Key: k\r\n"));
        EXPECT_EQ(status(response), 504) << response;
        EXPECT_LT(event::Loop::clock() - start, 400ms + 150ms);
        EXPECT_EQ(contains(response, "no-time"), path != "/safe")
            << "only a safe request is rejected: " << response;
        const std::size_t request_count = gateway.request_count();
        gateway.run_until([] { return false; }, 300ms);
        EXPECT_EQ(gateway.request_count(), request_count);
    }
}

TEST(Hosts, RefusedConnectionsAreRetriedEvenIfNotIdempotent) {
    Options options;
    options.hosts = 3;
    TestGateway gateway(options);
    gateway.hosts[0]->listener.stop();
    gateway.hosts[1]->listener.stop();
    for (int i = 0; i < 10; ++i)
        EXPECT_EQ(status(gateway.exchange(post_request("/a"))), 200) << i;
    EXPECT_EQ(gateway.hosts[2]->requests.size(), 10u) << "each request runs once";
}

TEST(Hosts, NothingIsForwardedForADisconnectedClient) {
    Options options;
    options.hosts = 2;
    TestGateway gateway(options);
    for (auto& host : gateway.hosts)
        host->respond = nullptr;
    {
        auto client = gateway.connect();
        client->stream.write("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
        ASSERT_TRUE(gateway.run_until([&] { return gateway.request_count() == 1; }));
        client->stream.reset();
    }
    gateway.run_until([] { return false; }, 700ms);
    EXPECT_EQ(gateway.request_count(), 1u) << "no hedged request for a disconnected client";
}

TEST(Hosts, AChangedEndpointListIsAppliedAndAnInvalidOneIsNot) {
    Options options;
    options.hosts = 2;
    TestGateway gateway(options);
    auto removed_host = std::move(gateway.hosts[0]);
    gateway.hosts.erase(gateway.hosts.begin());
    gateway.write_host_list();
    gateway.run_until([] { return false; }, 600ms);
    for (int i = 0; i < 10; ++i)
        EXPECT_EQ(status(gateway.exchange(TestGateway::get_request("/a"))), 200);
    EXPECT_EQ(gateway.hosts[0]->requests.size(), 10u);
    gateway.write("hosts.json", R"({"clusterName":"hosts","endpoints":[{"lbEndpoints":[{}]}]})");
    gateway.run_until([] { return false; }, 600ms);
    EXPECT_EQ(status(gateway.exchange(TestGateway::get_request("/a"))), 200)
        << "the last valid list stays in use";
}

TEST(Scale, TenThousandIdleClientsDoNotBlockAnActiveOne) {
    rlimit descriptor_limit{};
    getrlimit(RLIMIT_NOFILE, &descriptor_limit);
    const rlimit original_limit = descriptor_limit;
    descriptor_limit.rlim_cur = descriptor_limit.rlim_max;
    setrlimit(RLIMIT_NOFILE, &descriptor_limit);
    // Both ends of each connection use a descriptor of this process. If the limit is lower, the
    // test opens as many clients as the limit permits.
    const std::size_t client_count =
        std::min<std::size_t>(10'000, descriptor_limit.rlim_cur / 2 - 200);
    if (client_count < 10'000)
        std::cout << "the descriptor limit permits only " << client_count << " clients\n";
    Options options;
    options.listen_fields = "max_connections: 20000";
    TestGateway gateway(options);
    std::vector<std::unique_ptr<Client>> idle;
    while (idle.size() < client_count) {
        for (int i = 0; i < 200 && idle.size() < client_count; ++i)
            idle.push_back(gateway.connect());
        gateway.run_until([] { return false; }, 5ms);
    }
    gateway.run_until([] { return false; }, 200ms);
    EXPECT_EQ(status(gateway.exchange(TestGateway::get_request("/a"))), 200);
    for (const auto& client : idle)
        ASSERT_FALSE(client->is_closed());
    idle.clear();
    setrlimit(RLIMIT_NOFILE, &original_limit);
}

TEST(Scale, WithoutDescriptorsNewClientsAreClosedAndOldOnesServed) {
    TestGateway gateway;
    auto old_client = gateway.connect();
    old_client->stream.write("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
    ASSERT_TRUE(gateway.run_until([&] { return contains(old_client->received, "ok"); }));
    // The client's end is open. The gateway accepts it when no descriptor is left.
    auto new_client = gateway.connect();
    rlimit original_limit{};
    getrlimit(RLIMIT_NOFILE, &original_limit);
    // All descriptors below the lowest free one are in use, so opening another one fails from here
    // on.
    event::Fd lowest_free(open("/dev/null", O_RDONLY));
    rlimit exhausted_limit = original_limit;
    exhausted_limit.rlim_cur = static_cast<rlim_t>(lowest_free.get());
    lowest_free.reset();
    setrlimit(RLIMIT_NOFILE, &exhausted_limit);
    EXPECT_TRUE(gateway.run_until([&] { return new_client->is_closed(); }))
        << "the new client is closed instead of left waiting";
    old_client->received.clear();
    old_client->stream.write("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
    EXPECT_TRUE(gateway.run_until([&] { return contains(old_client->received, "ok"); }))
        << "an idle connection to the host serves the request";
    setrlimit(RLIMIT_NOFILE, &original_limit);
    EXPECT_EQ(status(gateway.exchange(TestGateway::get_request("/a"))), 200);
}

TEST(Scale, ClientsAboveTheConnectionLimitAreClosed) {
    Options options;
    options.listen_fields = "max_connections: 2";
    TestGateway gateway(options);
    auto first = gateway.connect(), second = gateway.connect();
    gateway.run_until([] { return false; }, 30ms);
    auto third = gateway.connect();
    EXPECT_TRUE(gateway.run_until([&] { return third->is_closed(); }));
    EXPECT_FALSE(first->is_closed());
    EXPECT_FALSE(second->is_closed());
}

TEST(Hosts, NothingIsSentForAClientThatDisconnectsDuringTheConnect) {
    test_support::DelayedAcceptHost late_host;
    Options options;
    options.hosts = 0, options.unscripted_port = late_host.port(), options.connect_ms = 3000,
    options.deadline_ms = 3000;
    TestGateway gateway(options);
    {
        auto client = gateway.connect();
        client->stream.write(post_request("/a"));
        gateway.run_for(50ms);
    }
    gateway.run_for(10ms);
    // The system repeats the handshake after a second, so a connection that is still pending would
    // be established within this time.
    EXPECT_FALSE(gateway.run_until([&] { return late_host.received_bytes() > 0; }, 1500ms));
}
