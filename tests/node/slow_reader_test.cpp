// Clients that take their responses late or slowly, with commands that wait meanwhile. Every
// command that has arrived gets a response.
#include <sys/socket.h>

#include <cerrno>

#include "tests/node/test_node.h"

using namespace node_test;

namespace {
// More than the systems of both sides hold for a client that reads nothing.
constexpr std::size_t value_bytes = 500'000;
constexpr std::uint64_t long_value_count = 16;

std::string ping() {
    return "*1\r\n$4\r\nPING\r\n";
}
std::string repeat(const std::string& text, std::size_t count) {
    std::string repeated;
    for (std::size_t i = 0; i < count; ++i)
        repeated += text;
    return repeated;
}
std::string long_queries() {
    std::string bytes;
    for (std::uint64_t id = 1; id <= long_value_count; ++id)
        bytes += query(id);
    return bytes;
}
// Reads some of what waits at a client whose stream does not read. Returns false at the end.
bool read_some(Client& client, std::size_t max_bytes) {
    std::string buffer(max_bytes, 0);
    const ssize_t size = ::recv(client.stream.fd(), buffer.data(), buffer.size(), MSG_DONTWAIT);
    if (size > 0) client.received.append(buffer, 0, static_cast<std::size_t>(size));
    return size > 0 || (size < 0 && errno == EAGAIN);
}
void respond_with_long_values(TestNode& node) {
    for (auto& host : node.hosts)
        host->respond = [](ScriptedServer::Peer& peer, const Arguments& arguments) {
            std::string value = "for " + arguments[2];
            value.resize(value_bytes, 'x');
            peer.stream.write(host_response(value));
        };
}
// The number of complete responses: bulk strings, errors and status lines.
std::size_t count_responses(const std::string& bytes) {
    std::size_t count = 0;
    for (std::size_t position = 0; position < bytes.size(); ++count) {
        const std::size_t line_end = bytes.find("\r\n", position);
        if (line_end == std::string::npos) break;
        const std::size_t body =
            bytes[position] == '$' ? std::stoul(bytes.substr(position + 1, 9)) + 2 : 0;
        position = line_end + 2 + body;
        if (position > bytes.size()) break;
    }
    return count;
}
}  // namespace

// Guards against whole commands that are dropped, as if unfinished, where the client takes nothing
// for longer than a command may take.
TEST(SlowReader, CommandsWaitingForAClientThatReadsNothingAreAnswered) {
    constexpr std::size_t ping_count = 200;
    TestNode node({.hosts = 4});
    respond_with_long_values(node);
    const auto client = node.connect();
    client->stream.write(long_queries() + repeat(ping(), ping_count));
    client->stream.set_reading(false);
    node.run_for(2600ms);
    client->stream.set_reading(true);
    node.run_until([&] {
        return client->is_closed() ||
               count_responses(client->received) == long_value_count + ping_count;
    });
    EXPECT_EQ(count_responses(client->received), long_value_count + ping_count);
    EXPECT_FALSE(client->is_closed());
    EXPECT_EQ(client->received.find("-ERR"), std::string::npos);
}

// Guards against a command that counts as unfinished for the time in which the node did not read
// it, because responses to earlier commands were pending.
TEST(SlowReader, ACommandMayBeFinishedAfterTheNodeReadsAgain) {
    constexpr std::size_t ping_count = 63;  // with the request, as many responses as may be pending
    constexpr auto response_delay = 1400ms;
    TestNode node;
    node.hosts[0]->respond = [&](ScriptedServer::Peer& peer, const Arguments& arguments) {
        node.loop.after(
            arguments[2] == hex(1) ? response_delay : 0ms,
            [&peer, value = "for " + arguments[2]] { peer.stream.write(host_response(value)); });
    };
    const std::string last = submit(2, std::string(60'000, 's'));
    const auto client = node.connect();
    client->stream.write(submit(1, "b") + repeat(ping(), ping_count) + last.substr(0, 50'000));
    ASSERT_TRUE(
        node.run_until([&] { return count_responses(client->received) == 1 + ping_count; }));
    // More than a command may take since its first byte, and less since the node reads again.
    node.run_for(900ms);
    EXPECT_FALSE(client->is_closed()) << client->received;
    client->stream.write(last.substr(50'000));
    node.run_until(
        [&] { return client->is_closed() || count_responses(client->received) == 2 + ping_count; });
    EXPECT_TRUE(client->received.ends_with(bulk("for " + hex(2)))) << client->received;
}

// Guards against a connection that is closed, with the commands on it, as if its client read
// nothing, because the system takes the next bytes of its queue only after megabytes of reading.
TEST(SlowReader, AClientThatReadsSlowlyKeepsItsConnection) {
    constexpr std::size_t ping_count = 100;
    constexpr std::size_t argument_bytes = 60'000;
    constexpr std::size_t read_bytes = 10'000;
    constexpr auto read_interval = 100ms;
    std::string echo;
    resp::append_array(echo, 2);
    resp::append_bulk(echo, "PING");
    resp::append_bulk(echo, std::string(argument_bytes, 'p'));
    TestNode node;
    const auto client = node.connect();
    client->stream.set_reading(false);
    client->stream.write(repeat(echo, ping_count));
    node.run_for(300ms);
    bool is_open = true;
    for (const auto end = event::Loop::clock() + 8s; is_open && event::Loop::clock() < end;) {
        is_open = read_some(*client, read_bytes);
        node.run_for(read_interval);
    }
    EXPECT_TRUE(is_open);
    client->stream.set_reading(true);
    node.run_until(
        [&] { return client->is_closed() || count_responses(client->received) == ping_count; });
    EXPECT_EQ(count_responses(client->received), ping_count);
}

// Guards against many clients that send requests and read no response, and that together exhaust
// the memory. Another client is served meanwhile.
TEST(SlowReader, UnreadResponsesOfManyClientsAreBounded) {
    constexpr int memory_mb = 8;
    constexpr std::size_t max_in_hand_bytes = std::size_t{memory_mb} * 1024 * 1024 / 4;
    constexpr std::size_t argument_bytes = 30'000;
    std::string echo;
    resp::append_array(echo, 2);
    resp::append_bulk(echo, "PING");
    resp::append_bulk(echo, std::string(argument_bytes, 'p'));
    TestNode node({.memory_mb = memory_mb});
    std::vector<std::unique_ptr<Client>> clients;
    for (int i = 0; i < 60; ++i) {
        clients.push_back(node.connect());
        clients.back()->stream.set_reading(false);
        clients.back()->stream.write(repeat(echo, 20));
    }
    std::size_t most_bytes = 0;
    node.run_until(
        [&] {
            most_bytes = std::max(most_bytes, node.instance->in_hand_bytes());
            return false;
        },
        1000ms);
    EXPECT_GT(most_bytes, max_in_hand_bytes / 2) << "the clients do hold the node up";
    // Each connection may have one more command in hand.
    EXPECT_LE(most_bytes, max_in_hand_bytes + clients.size() * argument_bytes);
    EXPECT_EQ(node.exchange(query(1), 7), "$20\r\nfor " + hex(1) + "\r\n");
}
