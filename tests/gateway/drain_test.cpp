// A draining HTTP gateway answers every request that the system received before the drain.
#include <netinet/in.h>
#include <sys/socket.h>

#include "rig.h"

using namespace rig;

namespace {
// Returns a client socket whose bytes are in the gateway's socket before the gateway reads.
event::Fd raw(int port, const std::string& bytes) {
    event::Fd fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    sockaddr_in at{};
    at.sin_family = AF_INET, at.sin_port = htons(static_cast<std::uint16_t>(port));
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    EXPECT_EQ(::connect(fd.get(), reinterpret_cast<sockaddr*>(&at), sizeof at), 0);
    EXPECT_EQ(::send(fd.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL),
              static_cast<ssize_t>(bytes.size()));
    return fd;
}
std::string received(const event::Fd& fd) {
    std::string got;
    char buffer[65536];
    for (ssize_t n; (n = ::recv(fd.get(), buffer, sizeof buffer, MSG_DONTWAIT)) > 0;)
        got.append(buffer, static_cast<std::size_t>(n));
    return got;
}
std::string keep_alive(const std::string& path) {
    return "GET " + path + " HTTP/1.1\r\nHost: h\r\nX-Key: k1\r\n\r\n";
}
int answers(const std::string& got) {
    int count = 0;
    for (std::size_t at = 0; (at = got.find("HTTP/1.1 ", at)) != std::string::npos; ++at)
        ++count;
    return count;
}
}  // namespace

TEST(HttpDrain, ConnectionsInTheAcceptQueueAreAnswered) {
    TestGateway g;
    std::vector<event::Fd> clients;
    for (int i = 0; i < 4; ++i)
        clients.push_back(raw(g.instance->port(), keep_alive("/mine")));
    bool done = false;
    g.instance->drain(3s, [&] { done = true; });
    EXPECT_TRUE(g.run([&] { return done; }));
    for (const event::Fd& client : clients) {
        const std::string got = received(client);
        EXPECT_EQ(answers(got), 1) << got;
    }
}

TEST(HttpDrain, PipelinedRequestsAreAnsweredBeforeTheConnectionCloses) {
    TestGateway g;
    const event::Fd client =
        raw(g.instance->port(), keep_alive("/mine") + keep_alive("/mine") + keep_alive("/mine"));
    ASSERT_TRUE(g.run([&] { return g.requests() >= 1; }));
    bool done = false;
    g.instance->drain(3s, [&] { done = true; });
    EXPECT_TRUE(g.run([&] { return done; }, 2s)) << "the drain ends before its timeout";
    EXPECT_EQ(answers(received(client)), 3);
}

TEST(HttpDrain, AResponseInTransferIsNotTruncated) {
    TestGateway g;
    const std::string body(2 * 1024 * 1024, 'x');
    g.hosts[0]->respond = [&](ScriptedHost::Peer& p, const std::string&) {
        p.stream.write("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
                       "\r\n\r\n" + body);
    };
    const event::Fd client = raw(g.instance->port(), keep_alive("/mine"));
    ASSERT_TRUE(g.run([&] { return g.requests() == 1; }));
    g.pass(100ms);
    bool done = false;
    g.instance->drain(3s, [&] { done = true; });
    std::string got;
    g.run([&] { return got += received(client), done; }, 3s);
    got += received(client);
    EXPECT_GT(got.size(), body.size());
}
