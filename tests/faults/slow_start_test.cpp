// A host that starts is ramped by the gateway's own clock, whatever the wall clock says.
#include "tests/faults/rig.h"

using namespace fault_test;

namespace {
constexpr int warm_hosts = 4;
constexpr auto cold_time = 4s;

// One gateway with a wall clock of its own, four warm hosts and one that appears.
struct Stepped {
    FaultNode node;
    std::unique_ptr<Client> client;
    std::uint64_t ids = 0;
    explicit Stepped(std::chrono::microseconds step)
        : node(warm_hosts, [](std::string config) {
              config = replaced(std::move(config), "\"coldUs\":10000000", "\"coldUs\":4000000");
              return replaced(std::move(config), "\"instances\":3", "\"instances\":1");
          }) {
        node.process->faults->wall_step_us = step.count();
    }
    // Answers take a while that differs, as they do; else a gateway keeps to the host that was
    // fastest once.
    void work_like_a_host(Host& host) {
        host.respond = [this](ScriptedServer::Peer& p, const Arguments& w) {
            node.loop.after(std::chrono::milliseconds(20 + ids * 7 % 30),
                            [&p, value = "for " + w[2]] {
                                if (!p.is_closed) p.stream.write(host_response(value));
                            });
        };
    }
    bool start() {
        for (auto& host : node.hosts)
            work_like_a_host(*host);
        if (!node.start() || !node.run([&] { return !node.discovery->request_lines.empty(); }))
            return false;
        client = node.connect();
        return true;
    }
    // Some 160 requests a second.
    void load(std::chrono::milliseconds span) {
        const Micros end = event::Loop::clock() + span;
        std::function<void()> next = [&, end] {
            if (event::Loop::clock() >= end) return;
            client->stream.write(query(++ids, "c=lookup,t=team,d=1500,units=1,spread=1,first=0"));
            node.loop.after(6ms, next);
        };
        next();
        node.pass(span + 50ms);
    }
    // What the new host got, as a part of the mean of warm ones.
    double share(std::chrono::milliseconds span) {
        for (auto& h : node.hosts)
            h->commands.clear();
        load(span);
        double warm = 0;
        for (int i = 0; i < warm_hosts; ++i)
            warm += static_cast<double>(node.hosts[static_cast<std::size_t>(i)]->commands.size());
        return static_cast<double>(node.hosts.back()->commands.size()) / (warm / warm_hosts);
    }
    void appears(std::int64_t boot_ms) {
        node.hosts.push_back(std::make_unique<Host>(node.loop));
        work_like_a_host(*node.hosts.back());
        again(boot_ms);
    }
    void again(std::int64_t boot_ms) {
        node.discovery->send_line(
            Discovery::list(++revision, false,
                            replaced(node.hosts.back()->target("s-new"), "\"boot_ms\":0",
                                     "\"boot_ms\":" + std::to_string(boot_ms))));
        node.pass(20ms);
    }
    int revision = 41;
};
std::int64_t unix_ms() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}
// The share in the first 1.5 s and after the ramp, by the step of the gateway's wall clock at its
// start and of the new host's start time.
void ramp(std::chrono::microseconds step, std::chrono::milliseconds boot_off) {
    Stepped s(step);
    ASSERT_TRUE(s.start());
    s.load(2000ms);
    s.appears(unix_ms() + boot_off.count());
    const double first = s.share(1500ms);
    EXPECT_LT(first, 0.55);
    s.load(std::chrono::milliseconds(cold_time) - 1500ms);
    const double after = s.share(1500ms);
    EXPECT_GT(after, 0.7) << "it stays cold";
    std::printf("first %.2f, after %.2f\n", first, after);
}
}  // namespace

TEST(SlowStart, ByATrueClock) {
    ramp(0s, 0ms);
}
TEST(SlowStart, ByAWallClockAnHourAhead) {
    ramp(1h, 0ms);
}
TEST(SlowStart, ByAWallClockAnHourBehind) {
    ramp(-1h, 0ms);
}
TEST(SlowStart, AStartTimeInTheFutureDoesNoHarm) {
    ramp(0s, 1h);
}

TEST(SlowStart, AStepWhileItRunsChangesNothingAndAChangedStartTimeIsAStart) {
    Stepped s(0s);
    ASSERT_TRUE(s.start());
    s.load(2000ms);
    s.appears(unix_ms());
    s.load(4500ms);
    EXPECT_GT(s.share(1000ms), 0.7);
    s.node.process->faults->wall_step_us = std::chrono::microseconds(-1h).count();
    EXPECT_GT(s.share(1000ms), 0.7) << "a step alone";
    s.again(unix_ms() - 7'200'000);
    EXPECT_LT(s.share(1500ms), 0.55) << "another start time";
}
