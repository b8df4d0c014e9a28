// The limit on what all clients of the HTTP gateway together make it hold.
#include <array>

#include "test_gateway.h"

using namespace gateway_test;

namespace {
constexpr std::size_t max_buffered_bytes = std::size_t{1024} * 1024;
constexpr int client_count = 40;

Options options_with_limit() {
    Options options;
    options.listen_fields = "max_buffered_bytes: " + std::to_string(max_buffered_bytes);
    return options;
}
std::vector<std::unique_ptr<Client>> connect_many(TestGateway& gateway, const std::string& bytes,
                                                  bool is_reading) {
    std::vector<std::unique_ptr<Client>> clients;
    for (int i = 0; i < client_count; ++i) {
        clients.push_back(gateway.connect());
        clients.back()->stream.set_reading(is_reading);
        clients.back()->stream.write(bytes);
    }
    return clients;
}
void expect_others_are_served(TestGateway& gateway) {
    EXPECT_EQ(status(gateway.exchange(TestGateway::get_request("/a"))), 200);
    const std::string body(20'000, 'b');
    EXPECT_EQ(status(gateway.exchange(
                  "PUT /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: " +
                  std::to_string(body.size()) + "\r\n\r\n" + body)),
              200);
}
}  // namespace

// Guards against bodies that clients leave unfinished and that together exhaust the memory.
TEST(BufferLimit, UnfinishedBodiesOfManyClientsAreBounded) {
    TestGateway gateway(options_with_limit());
    const auto clients = connect_many(
        gateway,
        "PUT /a HTTP/1.1\r\nHost: h\r\nContent-Length: 200000\r\n\r\n" + std::string(100'000, 'b'),
        true);
    gateway.run_for(300ms);
    EXPECT_LE(gateway.instance->buffered_bytes(), max_buffered_bytes);
    std::size_t rejected = 0;
    for (const auto& client : clients)
        rejected += status(client->received) == 503 ? 1 : 0;
    EXPECT_GE(rejected, client_count - max_buffered_bytes / 100'000);
    EXPECT_LT(rejected, static_cast<std::size_t>(client_count)) << "the limit is used";
    expect_others_are_served(gateway);
    EXPECT_EQ(gateway.request_count(), 2u) << "no unfinished request is forwarded";
}

// Guards against pipelined requests whose responses a client does not read.
TEST(BufferLimit, UnreadResponsesOfManyClientsAreBounded) {
    TestGateway gateway(options_with_limit());
    const std::string body(100'000, 'b');
    gateway.hosts[0]->respond = [&](ScriptedHost::Peer& peer, const std::string&) {
        peer.stream.write("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
                          "\r\n\r\n" + body);
    };
    std::string requests;
    for (int i = 0; i < 20; ++i)
        requests += "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";
    const auto clients = connect_many(gateway, requests, false);
    std::size_t most_bytes = 0;
    gateway.run_until(
        [&] {
            most_bytes = std::max(most_bytes, gateway.instance->buffered_bytes());
            return false;
        },
        1500ms);
    // In a turn each connection to a host may bring 64 KiB more.
    EXPECT_LE(most_bytes, 2 * max_buffered_bytes);
    EXPECT_LE(gateway.instance->buffered_bytes(), max_buffered_bytes);
    expect_others_are_served(gateway);
}

// Guards against a client whose queue of responses grows with the requests that it sends ahead.
TEST(BufferLimit, RequestsWaitWhileTheirClientReadsNothing) {
    TestGateway gateway;
    const std::string body(100'000, 'b');
    gateway.hosts[0]->respond = [&](ScriptedHost::Peer& peer, const std::string&) {
        peer.stream.write("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
                          "\r\n\r\n" + body);
    };
    constexpr std::size_t request_total = 200;
    std::string requests;
    for (std::size_t i = 0; i < request_total; ++i)
        requests += "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";
    auto client = gateway.connect();
    client->stream.set_reading(false);
    client->stream.write(requests);
    gateway.run_for(1500ms);
    EXPECT_LT(gateway.request_count(), request_total);
    EXPECT_LE(gateway.instance->buffered_bytes(), 512u * 1024);
    client->stream.set_reading(true);
    gateway.run_until([&] {
        return client->is_closed() || count_of(client->received, "HTTP/1.1 ") == request_total;
    });
    EXPECT_EQ(count_of(client->received, "HTTP/1.1 "), request_total)
        << client->received.substr(std::max<std::size_t>(client->received.size(), 600) - 600);
}
