// Guards against responses that are cut with an end that looks whole: the end of the connection is
// the end of the response (HTTP/1.0, Connection: close), and the client reads late or slowly.
#include <fmt/format.h>
#include <sys/socket.h>

#include <vector>

#include "event/socket_address.h"
#include "test_gateway.h"

using namespace gateway_test;

namespace {
constexpr const char* until_close_request = "GET /a HTTP/1.0\r\n\r\n";
constexpr std::size_t bytes_per_kib = 1024;

std::string text_of(std::size_t size) {
    std::string text;
    text.resize(size, 'x');
    return text;
}

// The host sends its response in chunks, so that a client without them gets no length.
void respond_in_chunks(ScriptedHost& host, const std::string& body) {
    host.respond = [&body](ScriptedHost::Peer& peer, const std::string&) {
        constexpr std::size_t chunk_bytes = 16'000;
        peer.stream.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (std::size_t at = 0; at < body.size(); at += chunk_bytes) {
            const std::string chunk = body.substr(at, chunk_bytes);
            peer.stream.write(fmt::format("{:x}\r\n", chunk.size()) + chunk + "\r\n");
        }
        peer.stream.write("0\r\n\r\n");
    };
}
std::string body_of(const std::string& response) {
    const std::size_t head_end = response.find("\r\n\r\n");
    return head_end == std::string::npos ? "" : response.substr(head_end + 4);
}
// A client that limits what the system receives for it, and reads only when it is told to.
struct SlowClient {
    event::Fd fd;
    std::string received;
    bool ended = false, reset = false;

    SlowClient(int port, const std::string& request)
        : fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
        const int receive_buffer_bytes = 64 * 1024;
        setsockopt(fd.get(), SOL_SOCKET, SO_RCVBUF, &receive_buffer_bytes,
                   sizeof receive_buffer_bytes);
        event::SocketAddress address("127.0.0.1", port, false);
        EXPECT_EQ(::connect(fd.get(), address.get(), address.size), 0);
        EXPECT_EQ(::send(fd.get(), request.data(), request.size(), MSG_NOSIGNAL),
                  static_cast<ssize_t>(request.size()));
    }
    bool is_closed() const { return ended || reset; }
    void read_at_most(std::size_t max_bytes) {
        std::vector<char> buffer(max_bytes);
        const ssize_t count = ::recv(fd.get(), buffer.data(), buffer.size(), MSG_DONTWAIT);
        if (count > 0) received.append(buffer.data(), static_cast<std::size_t>(count));
        ended = ended || count == 0;
        reset = reset || (count < 0 && errno == ECONNRESET);
    }
};
}  // namespace

// The sizes go past what the sockets buffer, in steps of less than the gateway's own queue.
TEST(ResponseEnd, AClientThatIsSilentForAWhileGetsItsWholeResponse) {
    constexpr std::size_t responses = 30, step_bytes = 200'000;
    Options options;
    options.deadline_ms = 10'000;
    TestGateway gateway(options);
    std::vector<std::string> bodies;
    for (std::size_t n = 1; n <= responses; ++n)
        bodies.emplace_back(n * step_bytes, 'x');
    std::vector<std::unique_ptr<SlowClient>> clients;
    for (const std::string& body : bodies) {
        respond_in_chunks(*gateway.hosts[0], body);
        const std::size_t requests = gateway.request_count();
        clients.push_back(
            std::make_unique<SlowClient>(gateway.instance->port(), until_close_request));
        ASSERT_TRUE(gateway.run_until([&] { return gateway.request_count() > requests; }));
    }
    gateway.run_for(1500ms);
    const auto read_all = [&] {
        bool done = true;
        for (auto& client : clients) {
            if (!client->is_closed()) client->read_at_most(256 * bytes_per_kib);
            done = done && client->is_closed();
        }
        return done;
    };
    EXPECT_TRUE(gateway.run_until(read_all, 10s));
    for (std::size_t n = 0; n < clients.size(); ++n)
        EXPECT_EQ(body_of(clients[n]->received).size(), bodies[n].size())
            << (clients[n]->reset ? "reset" : "ended");
}

// Guards against the rest of a response that is dropped when the client ends its side.
TEST(ResponseEnd, AClientThatEndsItsSideAndReadsLateGetsItsWholeResponse) {
    constexpr std::size_t responses = 30, step_bytes = 200'000;
    Options options;
    options.listen_fields = "half_closed: ANSWER";
    options.deadline_ms = 10'000;
    TestGateway gateway(options);
    const std::string request = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";
    for (std::size_t n = 1; n <= responses; ++n) {
        const std::string body = text_of(n * step_bytes);
        gateway.hosts[0]->respond = [&](ScriptedHost::Peer& peer, const std::string&) {
            peer.stream.write(
                fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.size()));
            peer.stream.write(body);
        };
        SlowClient client(gateway.instance->port(), request);
        gateway.run_for(60ms);
        ::shutdown(client.fd.get(), SHUT_WR);
        gateway.run_for(20ms);
        const auto read_all = [&] {
            if (!client.is_closed()) client.read_at_most(256 * bytes_per_kib);
            return client.is_closed();
        };
        EXPECT_TRUE(gateway.run_until(read_all, 5s));
        EXPECT_EQ(body_of(client.received).size(), body.size())
            << (client.reset ? "reset" : "ended");
    }
}

// The system accepts bytes in large steps, so it makes no progress for longer than stalled_ms
// although the client reads all the time.
TEST(ResponseEnd, AClientThatReadsSlowlyButSteadilyGetsItsWholeResponse) {
    Options options;
    options.listen_fields = "stalled_ms: 1500";
    options.deadline_ms = 60'000;
    TestGateway gateway(options);
    const std::string body = text_of(4'000'000);
    respond_in_chunks(*gateway.hosts[0], body);
    SlowClient client(gateway.instance->port(), until_close_request);
    while (!client.is_closed()) {
        gateway.run_for(100ms);
        client.read_at_most(64 * bytes_per_kib);
    }
    EXPECT_TRUE(client.ended);
    EXPECT_EQ(body_of(client.received).size(), body.size());
}

TEST(ResponseEnd, AClientThatReadsNothingIsResetSoThatItCanTell) {
    Options options;
    options.listen_fields = "stalled_ms: 600";
    TestGateway gateway(options);
    const std::string body = text_of(12'000'000);
    respond_in_chunks(*gateway.hosts[0], body);
    SlowClient client(gateway.instance->port(), until_close_request);
    gateway.run_for(2000ms);
    while (!client.is_closed())
        client.read_at_most(1 << 20);
    EXPECT_TRUE(client.reset);
    EXPECT_LT(client.received.size(), body.size());
}
