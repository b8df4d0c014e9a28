// Guards against attempts for clients that have disconnected, where the end of the connection lies
// behind more pipelined requests than the node reads ahead, and against answers that are lost when
// many clients together send more than the node buffers.
#include "tests/faults/fault_node.h"

using namespace fault_test;

TEST(ClientDisconnect, IsDetectedBehindUnreadPipelinedRequests) {
    FaultNode node(2);
    std::vector<Micros> attempt_times;
    for (auto& host : node.hosts)
        host->respond = [&](ScriptedServer::Peer& peer, const Arguments& words) {
            attempt_times.push_back(event::Loop::clock());
            node.loop.after(200ms, [&peer, value = "for " + words[2]] {
                if (!peer.is_closed) peer.stream.write(host_response(value));
            });
        };
    ASSERT_TRUE(node.start());
    auto client = node.connect();
    std::string requests;
    for (std::uint64_t id = 1; id <= 1000; ++id)
        requests += query(id);
    client->stream.write(requests);
    ASSERT_TRUE(node.run_until([&] { return !attempt_times.empty(); }));
    node.run_for(50ms);
    const Micros closed_at = event::Loop::clock();
    client.reset();
    node.run_for(1500ms);
    for (const Micros at : attempt_times)
        EXPECT_LE((at - closed_at).count(), Micros(100ms).count());
}

TEST(ReadBuffers, FloodOnManyConnectionsLosesNoCompleteCommand) {
    constexpr int client_count = 30, ping_count = 500;
    FaultNode node(12, [](std::string config) {
        return replace_once(std::move(config), "\"memory_mb\":64", "\"memory_mb\":4");
    });
    for (auto& host : node.hosts)
        host->respond = [&](ScriptedServer::Peer& peer, const Arguments& words) {
            node.loop.after(500ms, [&peer, value = "for " + words[2]] {
                if (!peer.is_closed) peer.stream.write(host_response(value));
            });
        };
    ASSERT_TRUE(node.start());
    std::vector<std::unique_ptr<Client>> clients;
    for (std::uint64_t id = 1; id <= client_count; ++id) {
        clients.push_back(node.connect());
        clients.back()->stream.write(query(id, "c=lookup,t=team,d=1500,units=1,spread=1,first=0"));
    }
    node.run_for(100ms);
    std::erase_if(clients, [](const auto& client) {
        return !client->received.empty();
    });  // refused immediately
    ASSERT_GE(clients.size(), 10u);
    // Complete commands that wait behind the first answer; over all connections, more bytes than
    // the node buffers.
    std::string flood;
    for (int i = 0; i < ping_count; ++i)
        flood += "*2\r\n$4\r\nPING\r\n$100\r\n" + std::string(100, 'x') + "\r\n";
    for (auto& client : clients)
        client->stream.write(flood);
    const auto is_complete = [](const auto& client) {
        return replies(client->received).size() == 1 + ping_count;
    };
    node.run_until(
        [&] {
            return std::all_of(clients.begin(), clients.end(), [&](auto& client) {
                return client->is_closed() || is_complete(client);
            });
        },
        4s);
    for (auto& client : clients)
        EXPECT_TRUE(is_complete(client))
            << replies(client->received).size() << " answers, closed: " << client->is_closed();
}
