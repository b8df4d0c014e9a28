// Guards against slow start that depends on the wall clock: the load of a started host must follow
// the gateway's monotonic clock, even if the wall clock is wrong or is stepped.
#include "tests/faults/fault_node.h"

using namespace fault_test;

namespace {
constexpr int warm_hosts = 4;
constexpr auto cold_duration = 4s;
// Some 170 requests a second at each host, so that the load of a host in 1 s shows its share.
constexpr auto request_interval = 1ms;

// One gateway with its own wall clock offset, four warm hosts, and a fifth host that is added
// later.
struct SlowStartTest {
    FaultNode node;
    std::unique_ptr<Client> client;
    std::uint64_t last_id = 0;
    explicit SlowStartTest(std::chrono::microseconds wall_clock_offset)
        : node(warm_hosts, [](std::string config) {
              config = replace_once(std::move(config), "\"coldUs\":10000000", "\"coldUs\":4000000");
              return replace_once(std::move(config), "\"instances\":3", "\"instances\":1");
          }) {
        node.process->faults->wall_clock_offset_us = wall_clock_offset.count();
    }
    // Answers after a delay that varies between requests; with a constant delay the gateway would
    // keep to the host that was fastest once.
    void respond_with_delay(Host& host) {
        host.respond = [this](ScriptedServer::Peer& peer, const Arguments& words) {
            node.loop.after(std::chrono::milliseconds(20 + last_id * 7 % 30),
                            [&peer, value = "for " + words[2]] {
                                if (!peer.is_closed) peer.stream.write(host_response(value));
                            });
        };
    }
    bool start() {
        for (auto& host : node.hosts)
            respond_with_delay(*host);
        if (!node.start() ||
            !node.run_until([&] { return !node.discovery->request_lines.empty(); }))
            return false;
        client = node.connect();
        return true;
    }
    void send_load(std::chrono::milliseconds duration) {
        const Micros end_time = event::Loop::clock() + duration;
        std::function<void()> send_next = [&, end_time] {
            if (event::Loop::clock() >= end_time) return;
            client->stream.write(
                query(++last_id, "c=lookup,t=team,d=1500,units=1,spread=1,first=0"));
            node.loop.after(request_interval, send_next);
        };
        send_next();
        node.run_for(duration + 50ms);
    }
    // Returns the number of requests at the new host divided by the mean over the warm hosts.
    double new_host_load_ratio(std::chrono::milliseconds duration) {
        for (auto& host : node.hosts)
            host->commands.clear();
        send_load(duration);
        double warm_requests = 0;
        for (int i = 0; i < warm_hosts; ++i)
            warm_requests +=
                static_cast<double>(node.hosts[static_cast<std::size_t>(i)]->commands.size());
        return static_cast<double>(node.hosts.back()->commands.size()) /
               (warm_requests / warm_hosts);
    }
    void add_host(std::int64_t boot_ms) {
        node.hosts.push_back(std::make_unique<Host>(node.loop));
        respond_with_delay(*node.hosts.back());
        announce_host(boot_ms);
    }
    void announce_host(std::int64_t boot_ms) {
        node.discovery->send_line(
            Discovery::list(++revision, false,
                            replace_once(node.hosts.back()->target("s-new"), "\"boot_ms\":0",
                                         "\"boot_ms\":" + std::to_string(boot_ms))));
        node.run_for(20ms);
    }
    int revision = 41;
};
std::int64_t unix_ms() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}
// Checks the load of a new host in its first 1.5 s and after slow start. `wall_clock_offset` is
// added to the gateway's wall clock, `start_time_offset` to the start time that the new host
// reports.
void check_ramp(std::chrono::microseconds wall_clock_offset,
                std::chrono::milliseconds start_time_offset) {
    SlowStartTest test(wall_clock_offset);
    ASSERT_TRUE(test.start());
    test.send_load(2000ms);
    test.add_host(unix_ms() + start_time_offset.count());
    const double initial_ratio = test.new_host_load_ratio(1500ms);
    EXPECT_LT(initial_ratio, 0.55);
    test.send_load(std::chrono::milliseconds(cold_duration) - 1500ms);
    const double final_ratio = test.new_host_load_ratio(1500ms);
    EXPECT_GT(final_ratio, 0.7) << "the host is still in slow start";
    std::printf("load of the new host: %.2f in the first 1.5 s, %.2f after slow start\n",
                initial_ratio, final_ratio);
}
}  // namespace

TEST(SlowStart, WithACorrectWallClock) {
    check_ramp(0s, 0ms);
}
TEST(SlowStart, WithAWallClockOneHourAhead) {
    check_ramp(1h, 0ms);
}
TEST(SlowStart, WithAWallClockOneHourBehind) {
    check_ramp(-1h, 0ms);
}
TEST(SlowStart, AStartTimeInTheFutureDoesNoHarm) {
    check_ramp(0s, 1h);
}

TEST(SlowStart, IgnoresAWallClockStepAndRestartsOnAChangedStartTime) {
    SlowStartTest test(0s);
    ASSERT_TRUE(test.start());
    test.send_load(2000ms);
    test.add_host(unix_ms());
    test.send_load(4500ms);
    const double ratio_before = test.new_host_load_ratio(1000ms);
    EXPECT_GT(ratio_before, 0.7);
    test.node.process->faults->wall_clock_offset_us = std::chrono::microseconds(-1h).count();
    const double ratio_after_step = test.new_host_load_ratio(1000ms);
    EXPECT_GT(ratio_after_step, 0.7) << "after a step of the wall clock alone";
    test.announce_host(unix_ms() - 7'200'000);
    const double ratio_after_change = test.new_host_load_ratio(1500ms);
    EXPECT_LT(ratio_after_change, 0.55) << "after a changed start time";
    std::printf(
        "load of the new host: %.2f, %.2f after the step, %.2f after a changed start time\n",
        ratio_before, ratio_after_step, ratio_after_change);
}
