// A draining HTTP gateway answers every request that the system received before the drain.
#include <netinet/in.h>
#include <sys/socket.h>

#include "test_gateway.h"

using namespace gateway_test;

namespace {
// Returns a client socket whose bytes are in the gateway's socket before the gateway reads.
event::Fd connect_and_send(int port, const std::string& bytes) {
    event::Fd fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    sockaddr_in address{};
    address.sin_family = AF_INET, address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    EXPECT_EQ(::connect(fd.get(), reinterpret_cast<sockaddr*>(&address), sizeof address), 0);
    EXPECT_EQ(::send(fd.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL),
              static_cast<ssize_t>(bytes.size()));
    return fd;
}
std::string receive_all(const event::Fd& fd) {
    std::string bytes;
    char buffer[65536];
    for (ssize_t size; (size = ::recv(fd.get(), buffer, sizeof buffer, MSG_DONTWAIT)) > 0;)
        bytes.append(buffer, static_cast<std::size_t>(size));
    return bytes;
}
std::string keep_alive_request(const std::string& path) {
    return "GET " + path + " HTTP/1.1\r\nHost: h\r\nX-Key: k1\r\n\r\n";
}
int response_count(const std::string& bytes) {
    int count = 0;
    for (std::size_t position = 0;
         (position = bytes.find("HTTP/1.1 ", position)) != std::string::npos; ++position)
        ++count;
    return count;
}
}  // namespace

TEST(HttpDrain, ConnectionsInTheAcceptQueueAreAnswered) {
    TestGateway gateway;
    std::vector<event::Fd> clients;
    for (int i = 0; i < 4; ++i)
        clients.push_back(connect_and_send(gateway.instance->port(), keep_alive_request("/mine")));
    bool done = false;
    gateway.instance->drain(3s, [&] { done = true; });
    EXPECT_TRUE(gateway.run_until([&] { return done; }));
    for (const event::Fd& client : clients) {
        const std::string bytes = receive_all(client);
        EXPECT_EQ(response_count(bytes), 1) << bytes;
    }
}

TEST(HttpDrain, PipelinedRequestsAreAnsweredBeforeTheConnectionCloses) {
    TestGateway gateway;
    const event::Fd client = connect_and_send(
        gateway.instance->port(),
        keep_alive_request("/mine") + keep_alive_request("/mine") + keep_alive_request("/mine"));
    ASSERT_TRUE(gateway.run_until([&] { return gateway.request_count() >= 1; }));
    bool done = false;
    gateway.instance->drain(3s, [&] { done = true; });
    EXPECT_TRUE(gateway.run_until([&] { return done; }, 2s)) << "the drain ends before its timeout";
    EXPECT_EQ(response_count(receive_all(client)), 3);
}

TEST(HttpDrain, AResponseInTransferIsNotTruncated) {
    TestGateway gateway;
    const std::string body(2 * 1024 * 1024, 'x');
    gateway.hosts[0]->respond = [&](ScriptedHost::Peer& peer, const std::string&) {
        peer.stream.write("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
                          "\r\n\r\n" + body);
    };
    const event::Fd client =
        connect_and_send(gateway.instance->port(), keep_alive_request("/mine"));
    ASSERT_TRUE(gateway.run_until([&] { return gateway.request_count() == 1; }));
    gateway.run_for(100ms);
    bool done = false;
    gateway.instance->drain(3s, [&] { done = true; });
    std::string bytes;
    gateway.run_until([&] { return bytes += receive_all(client), done; }, 3s);
    bytes += receive_all(client);
    EXPECT_GT(bytes.size(), body.size());
}

// Guards against a response without a length that is cut at the end of the drain, with an end that
// looks like that of a complete response.
TEST(HttpDrain, AResponseThatOutlastsTheDrainIsReset) {
    TestGateway gateway;
    gateway.hosts[0]->respond = [](ScriptedHost::Peer& peer, const std::string&) {
        peer.stream.write("HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\nfirst part");
    };
    auto client = gateway.connect();
    client->stream.write("GET /a HTTP/1.0\r\nHost: h\r\n\r\n");
    ASSERT_TRUE(gateway.run_until([&] { return contains(client->received, "first part"); }));
    bool is_drained = false;
    gateway.instance->drain(100ms, [&] { is_drained = true; });
    ASSERT_TRUE(gateway.run_until([&] { return is_drained; }));
    gateway.instance.reset();
    gateway.run_until([&] { return client->is_closed(); });
    EXPECT_TRUE(client->has_failed) << "the client can tell that the response is not complete";
    EXPECT_FALSE(client->is_closed_by_peer);
}
