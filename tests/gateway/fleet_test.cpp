// Discovery over HTTP, messages between instances, account subsets and connection limits, on real
// sockets.
#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include "fakes/discovery_server.h"
#include "test_gateway.h"

using namespace gateway_test;

namespace {
void send_datagram(const std::string& to_ip, int port, const std::string& bytes) {
    event::Fd fd(::socket(AF_INET, SOCK_DGRAM, 0));
    sockaddr_in address{};
    address.sin_family = AF_INET, address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, to_ip.c_str(), &address.sin_addr);
    ::sendto(fd.get(), bytes.data(), bytes.size(), 0, reinterpret_cast<sockaddr*>(&address),
             sizeof address);
}
}  // namespace

TEST(Discovery, ChangedListsAreAppliedAndTheLastIsKeptDuringAnOutage) {
    event::Loop loop;
    config::Config config;
    std::vector<std::vector<EndpointEntry>> lists;
    int invalid_count = 0, outage_count = 0;
    fakes::Recorder records;
    auto service = std::make_unique<fakes::DiscoveryServer>(loop, "hosts", Micros(0), records);
    service->set("127.0.0.1:81", {});
    config.mutable_hosts()->set_discovery("127.0.0.1:" + std::to_string(service->port()));
    config.mutable_hosts()->set_discovery_ms(10);
    const auto discovery = discovery::start_endpoint_discovery(
        loop, config, ".",
        {[&](std::vector<EndpointEntry> entries) { lists.push_back(std::move(entries)); },
         [&](const std::vector<openapi::Problem>&) { ++invalid_count; },
         [&](const discovery::DiscoveryError&) { ++outage_count; }});
    const auto run = [&](std::function<bool()> until) {
        const auto deadline = event::Loop::clock() + 3s;
        std::function<void()> check = [&] {
            until() || event::Loop::clock() > deadline ? loop.stop() : loop.after(1ms, check);
        };
        check();
        loop.run();
        return until();
    };
    ASSERT_TRUE(run([&] { return lists.size() == 1; }));
    EXPECT_EQ(lists[0][0].id, "127.0.0.1:81");
    run([deadline = event::Loop::clock() + 100ms] { return event::Loop::clock() > deadline; });
    EXPECT_EQ(lists.size(), 1u) << "an unchanged list is not reported";
    service->set("127.0.0.1:82", {"DRAINING", "a", "", 0, 0});
    ASSERT_TRUE(run([&] { return lists.size() == 2; }));
    EXPECT_EQ(lists[1].size(), 2u);
    EXPECT_EQ(lists[1][1].status, EndpointStatus::draining);
    service.reset();
    ASSERT_TRUE(run([&] { return outage_count == 1; }));
    run([deadline = event::Loop::clock() + 100ms] { return event::Loop::clock() > deadline; });
    EXPECT_EQ(outage_count, 1) << "one report per outage";
    EXPECT_EQ(lists.size(), 2u);
    EXPECT_EQ(invalid_count, 0);
}

TEST(EnvelopeTransport, OnlyTheFleetsOwnDatagramsAreAccepted) {
    event::Loop loop;
    const auto config_of = [](int rank) {
        auto config = std::make_unique<config::Config>();
        config->set_fleet("birds");
        config->mutable_peers()->set_rank(rank);
        for (int i = 0; i < 2; ++i) {
            auto* peer = config->mutable_peers()->add_peer();
            peer->set_rank(i);
            peer->set_address("127." + std::to_string(200 + i) + "." +
                              std::to_string(getpid() % 250) + ".1:7947");
        }
        return config;
    };
    const auto first_config = config_of(0), second_config = config_of(1);
    std::vector<std::string> received;
    peers::EnvelopeTransport first(loop, *first_config, [&](int rank, std::string bytes) {
        received.push_back(std::to_string(rank) + bytes);
    });
    peers::EnvelopeTransport second(loop, *second_config, [](int, std::string) {});
    const std::string first_ip =
        config::parse_endpoint(first_config->peers().peer(0).address())->ip;
    second.send(0, "hello");
    send_datagram(
        first_ip, 7947,
        peers::encode_envelope("forged", 1, "birds"));  // from an address that is not the peer's
    send_datagram(first_ip, 7947, peers::encode_envelope("other", 1, "fish"));
    send_datagram(first_ip, 7947, "garbage");
    send_datagram(first_ip, 7947, std::string(3000, 'x'));
    second.send(-1, "all");
    loop.after(50ms, [&] { loop.stop(); });
    loop.run();
    EXPECT_EQ(received, (std::vector<std::string>{"1hello", "1all"}));
    const auto& dropped = first.stats().dropped;
    EXPECT_EQ(dropped[static_cast<std::size_t>(peers::DropReason::address_mismatch)], 1u);
    EXPECT_EQ(dropped[static_cast<std::size_t>(peers::DropReason::fleet_mismatch)], 1u);
    EXPECT_EQ(dropped[static_cast<std::size_t>(peers::DropReason::foreign_protocol)], 2u);
}

TEST(Fleet, AnAccountOutsideTheInstancesSubsetIsAnswered421) {
    // Each account belongs to one of the two instances. Its name alone determines which one.
    Options options;
    const std::string network = "127.210." + std::to_string(getpid() % 250);
    options.extra_config = "peers { rank: 0 account_spread: 1 peer { rank: 0 address: \"" +
                           network + ".1:7948\" } peer { rank: 1 address: \"" + network +
                           ".2:7948\" } }\n";
    for (int i = 0; i < 8; ++i)
        options.extra_config += "account { name: \"a" + std::to_string(i) +
                                "\" plan: \"basic\" key: \"key" + std::to_string(i) + "\" }\n";
    TestGateway gateway(options);
    int local_count = 0;
    for (int i = 0; i < 8; ++i) {
        const bool is_local = core::account_subset("a" + std::to_string(i), 2, 1).contains(0, 2);
        local_count += is_local;
        EXPECT_EQ(status(gateway.exchange(TestGateway::get_request(
                      "/mine", "X-Key: key" + std::to_string(i) + "\r\n"))),
                  is_local ? 200 : 421)
            << i;
    }
    EXPECT_GT(local_count, 0);
    EXPECT_LT(local_count, 8);
}

TEST(Fleet, AHostGetsNoMoreThanItsMaximumOfConnections) {
    Options options;
    options.listen_fields = "";
    options.hosts = 1;
    TestGateway gateway(options);
    gateway.config->mutable_hosts()->set_max_connections(3);
    for (auto& host : gateway.hosts)
        host->respond = nullptr;
    std::vector<std::unique_ptr<Client>> clients;
    for (int i = 0; i < 10; ++i) {
        clients.push_back(gateway.connect());
        clients.back()->stream.write(TestGateway::get_request("/a", "X-Deadline-Ms: 300\r\n"));
    }
    gateway.run_until([&] {
        return std::all_of(clients.begin(), clients.end(),
                           [](const auto& client) { return client->is_closed(); });
    });
    EXPECT_LE(gateway.hosts[0]->peers.size(), 3u);
    for (const auto& client : clients)
        EXPECT_GE(status(client->received), 503) << client->received;
}
