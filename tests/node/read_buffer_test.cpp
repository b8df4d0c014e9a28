// Guards the account of the bytes that clients' connections buffer. Bytes that a malformed frame
// returned twice made the total wrap below zero, and from then on every long request that came in
// pieces was answered with an error and the requests behind it were lost.
#include <functional>

#include "tests/node/test_node.h"

using namespace node_test;

namespace {
constexpr int memory_mb = 1;  // a buffer budget of 64 KiB
constexpr int repetitions = 3;
constexpr std::size_t malformed_bytes = 60'000;
constexpr std::size_t long_body_bytes = 30'000;
// More than a connection may always buffer, and more than four unfinished commands leave of the
// budget of memory_for_four_mb.
constexpr std::size_t first_piece_bytes = 25'000;
constexpr int memory_for_four_mb = 4;

std::string malformed_frame() {
    std::string frame;
    frame.resize(malformed_bytes, '#');
    return frame;
}
std::string ping() {
    return "*1\r\n$4\r\nPING\r\n";
}
// A command of which the last bytes are missing.
std::string unfinished_command(std::size_t body_bytes = malformed_bytes) {
    const std::string command = submit(1, std::string(body_bytes, 's'));
    return command.substr(0, command.size() - 100);
}
void send_and_wait_for_end(TestNode& node, const std::string& bytes) {
    auto client = node.connect();
    client->stream.write(bytes);
    EXPECT_TRUE(node.run_until([&] { return client->is_closed(); }));
}
void send_and_leave(TestNode& node, const std::string& bytes, bool with_reset) {
    auto client = node.connect();
    client->stream.write(bytes);
    node.run_for(20ms);
    if (with_reset) client->stream.reset();
    client.reset();
    node.run_for(20ms);
}
// Sends a long request in two pieces with another request behind it.
void expect_long_request_is_served(TestNode& node) {
    const std::string requests = submit(1, std::string(long_body_bytes, 's')) + query(2);
    const std::string expected = bulk("for " + hex(1)) + bulk("for " + hex(2));
    auto client = node.connect();
    client->stream.write(requests.substr(0, first_piece_bytes));
    node.run_for(20ms);
    client->stream.write(requests.substr(first_piece_bytes));
    node.run_until(
        [&] { return client->is_closed() || client->received.size() >= expected.size(); });
    EXPECT_EQ(client->received, expected);
}
void expect_bytes_are_returned_after(const std::function<void(TestNode&)>& end_a_connection) {
    TestNode node({.memory_mb = memory_mb});
    for (int i = 0; i < repetitions; ++i)
        end_a_connection(node);
    expect_long_request_is_served(node);
}
}  // namespace

TEST(ReadBuffer, AMalformedFrameReturnsItsBytesOnce) {
    expect_bytes_are_returned_after(
        [](TestNode& node) { send_and_wait_for_end(node, malformed_frame()); });
}

TEST(ReadBuffer, AMalformedFrameBehindACommandReturnsItsBytesOnce) {
    expect_bytes_are_returned_after(
        [](TestNode& node) { send_and_wait_for_end(node, ping() + malformed_frame()); });
}

TEST(ReadBuffer, AMalformedFrameBehindARequestInFlightReturnsItsBytesOnce) {
    expect_bytes_are_returned_after(
        [](TestNode& node) { send_and_wait_for_end(node, query(1) + malformed_frame()); });
}

TEST(ReadBuffer, AnUnfinishedCommandReturnsItsBytesAtItsTimeout) {
    expect_bytes_are_returned_after(
        [](TestNode& node) { send_and_wait_for_end(node, unfinished_command()); });
}

TEST(ReadBuffer, AClientThatLeavesReturnsItsBytesOnce) {
    for (const bool with_reset : {false, true})
        for (const std::string& bytes :
             {malformed_frame(), ping() + malformed_frame(), unfinished_command()})
            expect_bytes_are_returned_after(
                [&](TestNode& node) { send_and_leave(node, bytes, with_reset); });
}

// Guards against unfinished commands of bad clients that cost another client its requests: they
// filled the buffers, and the connection of a long request that came in pieces was ended.
TEST(ReadBuffer, UnfinishedCommandsOfBadClientsDoNotCostAnotherClientItsRequests) {
    TestNode node({.memory_mb = memory_for_four_mb});
    std::vector<std::unique_ptr<Client>> bad_clients;
    for (int i = 0; i < 4; ++i) {
        bad_clients.push_back(node.connect());
        bad_clients.back()->stream.write(unfinished_command());
        node.run_for(10ms);
    }
    expect_long_request_is_served(node);
    for (auto& client : bad_clients)
        EXPECT_TRUE(node.run_until([&] { return client->is_closed(); }, 3s));
}

// Guards against bytes of a failed connection that stay reserved while its responses are pending.
TEST(ReadBuffer, AFailedConnectionReturnsItsBytesBeforeItsResponsesAreSent) {
    TestNode node({.memory_mb = memory_for_four_mb});
    constexpr std::uint64_t slow_id = 10;
    node.hosts[0]->respond = [&](ScriptedServer::Peer& peer, const Arguments& arguments) {
        node.loop.after(
            arguments[2] == hex(slow_id) ? 1000ms : 0ms,
            [&peer, value = "for " + arguments[2]] { peer.stream.write(host_response(value)); });
    };
    std::vector<std::unique_ptr<Client>> bad_clients;
    for (int i = 0; i < 4; ++i) {
        bad_clients.push_back(node.connect());
        bad_clients.back()->stream.write(i == 0 ? query(slow_id) + unfinished_command(64'000)
                                                : unfinished_command());
        node.run_for(10ms);
    }
    expect_long_request_is_served(node);
    Client& failed = *bad_clients[0];
    EXPECT_TRUE(node.run_until([&] { return failed.is_closed(); }, 3s));
    EXPECT_EQ(failed.received,
              bulk("for " + hex(slow_id)) + "-ERR Protocol error: too much in hand\r\n");
}
