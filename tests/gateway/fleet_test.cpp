// Discovery over HTTP, messages between instances, accounts' sets and limits of connections, on
// real sockets.
#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include "fakes/discovery_server.h"
#include "rig.h"

using namespace rig;

namespace {
void send_datagram(const std::string& to_ip, int port, const std::string& bytes) {
    event::Fd fd(::socket(AF_INET, SOCK_DGRAM, 0));
    sockaddr_in at{};
    at.sin_family = AF_INET, at.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, to_ip.c_str(), &at.sin_addr);
    ::sendto(fd.get(), bytes.data(), bytes.size(), 0, reinterpret_cast<sockaddr*>(&at), sizeof at);
}
}  // namespace

TEST(Discovery, ListsAreFollowedAndTheLastStaysWhileItIsAway) {
    event::Loop loop;
    config::Config config;
    std::vector<std::vector<EndpointEntry>> lists;
    int bad = 0, unreachable = 0;
    fakes::Recorder records;
    auto service = std::make_unique<fakes::DiscoveryServer>(loop, "hosts", Micros(0), records);
    service->set("127.0.0.1:81", {});
    config.mutable_hosts()->set_discovery("127.0.0.1:" + std::to_string(service->port()));
    config.mutable_hosts()->set_discovery_ms(10);
    const auto discovery = discovery::start_endpoint_discovery(
        loop, config, ".",
        {[&](std::vector<EndpointEntry> h) { lists.push_back(std::move(h)); },
         [&](const std::vector<openapi::Problem>&) { ++bad; },
         [&](const discovery::DiscoveryError&) { ++unreachable; }});
    const auto run = [&](std::function<bool()> until) {
        const auto end = event::Loop::clock() + 3s;
        std::function<void()> look = [&] {
            until() || event::Loop::clock() > end ? loop.stop() : loop.after(1ms, look);
        };
        look();
        loop.run();
        return until();
    };
    ASSERT_TRUE(run([&] { return lists.size() == 1; }));
    EXPECT_EQ(lists[0][0].id, "127.0.0.1:81");
    run([end = event::Loop::clock() + 100ms] { return event::Loop::clock() > end; });
    EXPECT_EQ(lists.size(), 1u) << "the same list is not news";
    service->set("127.0.0.1:82", {"DRAINING", "a", "", 0, 0});
    ASSERT_TRUE(run([&] { return lists.size() == 2; }));
    EXPECT_EQ(lists[1].size(), 2u);
    EXPECT_EQ(lists[1][1].status, EndpointStatus::draining);
    service.reset();
    ASSERT_TRUE(run([&] { return unreachable == 1; }));
    run([end = event::Loop::clock() + 100ms] { return event::Loop::clock() > end; });
    EXPECT_EQ(unreachable, 1) << "told once";
    EXPECT_EQ(lists.size(), 2u);
    EXPECT_EQ(bad, 0);
}

TEST(EnvelopeTransport, OnlyTheFleetsOwnDatagramsAreAccepted) {
    event::Loop loop;
    const auto config_of = [](int rank) {
        auto c = std::make_unique<config::Config>();
        c->set_fleet("birds");
        c->mutable_peers()->set_rank(rank);
        for (int i = 0; i < 2; ++i) {
            auto* peer = c->mutable_peers()->add_peer();
            peer->set_rank(i);
            peer->set_address("127." + std::to_string(200 + i) + "." +
                              std::to_string(getpid() % 250) + ".1:7947");
        }
        return c;
    };
    const auto a = config_of(0), b = config_of(1);
    std::vector<std::string> got;
    peers::EnvelopeTransport first(loop, *a, [&](int rank, std::string bytes) {
        got.push_back(std::to_string(rank) + bytes);
    });
    peers::EnvelopeTransport second(loop, *b, [](int, std::string) {});
    const std::string to = config::parse_endpoint(a->peers().peer(0).address())->ip;
    second.send(0, "hello");
    send_datagram(
        to, 7947,
        peers::encode_envelope("forged", 1, "birds"));  // from an address that is not the peer's
    send_datagram(to, 7947, peers::encode_envelope("other", 1, "fish"));
    send_datagram(to, 7947, "garbage");
    send_datagram(to, 7947, std::string(3000, 'x'));
    second.send(-1, "all");
    loop.after(50ms, [&] { loop.stop(); });
    loop.run();
    EXPECT_EQ(got, (std::vector<std::string>{"1hello", "1all"}));
    const auto& dropped = first.stats().dropped;
    EXPECT_EQ(dropped[static_cast<std::size_t>(peers::DropReason::address_mismatch)], 1u);
    EXPECT_EQ(dropped[static_cast<std::size_t>(peers::DropReason::fleet_mismatch)], 1u);
    EXPECT_EQ(dropped[static_cast<std::size_t>(peers::DropReason::foreign_protocol)], 2u);
}

TEST(Fleet, AnAccountOutsideThisInstancesSetIsAnswered421) {
    // One of two instances for each account; which one follows from the name alone.
    Options o;
    const std::string net = "127.210." + std::to_string(getpid() % 250);
    o.more = "peers { rank: 0 account_spread: 1 peer { rank: 0 address: \"" + net +
             ".1:7948\" } peer { rank: 1 address: \"" + net + ".2:7948\" } }\n";
    for (int i = 0; i < 8; ++i)
        o.more += "account { name: \"a" + std::to_string(i) + "\" plan: \"basic\" key: \"key" +
                  std::to_string(i) + "\" }\n";
    TestGateway g(o);
    int here = 0;
    for (int i = 0; i < 8; ++i) {
        const bool ours = core::account_subset("a" + std::to_string(i), 2, 1).contains(0, 2);
        here += ours;
        EXPECT_EQ(
            status(g.talk(TestGateway::get("/mine", "X-Key: key" + std::to_string(i) + "\r\n"))),
            ours ? 200 : 421)
            << i;
    }
    EXPECT_GT(here, 0);
    EXPECT_LT(here, 8);
}

TEST(Fleet, BeyondItsConnectionsAHostGetsNothing) {
    Options o;
    o.listen = "";
    o.hosts = 1;
    TestGateway g(o);
    g.config->mutable_hosts()->set_max_connections(3);
    for (auto& h : g.hosts)
        h->respond = nullptr;
    std::vector<std::unique_ptr<Client>> clients;
    for (int i = 0; i < 10; ++i) {
        clients.push_back(g.connect());
        clients.back()->stream.write(TestGateway::get("/a", "X-Deadline-Ms: 300\r\n"));
    }
    g.run([&] {
        return std::all_of(clients.begin(), clients.end(), [](const auto& c) { return c->over(); });
    });
    EXPECT_LE(g.hosts[0]->peers.size(), 3u);
    for (const auto& c : clients)
        EXPECT_GE(status(c->got), 503) << c->got;
}
