// Side by side in one run on one machine: hosts directly, a bare relay, and the gateway; throughput
// on one core, added latency at half load, and memory of an idle connection.
#include <fcntl.h>
#include <fmt/format.h>
#include <sched.h>
#include <signal.h>
#include <stdlib.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <sstream>

#include "bare_relay.h"
#include "cli/instance.h"
#include "cli/node.h"
#include "load.h"
#include "resp/serializer.h"

using namespace silverreach;
using namespace std::chrono_literals;

namespace {
constexpr int hosts = 4, rounds = 3;

void pin(int core) {
    cpu_set_t set;
    CPU_ZERO(&set);
    CPU_SET(core % std::max(1, static_cast<int>(sysconf(_SC_NPROCESSORS_ONLN))), &set);
    sched_setaffinity(0, sizeof set, &set);
}

// A server in a process of its own, on a core of its own; tells its port through a pipe.
struct Child {
    pid_t pid = 0;
    int port = 0;
    Child(int core,
          const std::function<void(event::Loop&, const std::function<void(int)>&)>& body) {
        int ends[2];
        if (pipe(ends) != 0) throw std::runtime_error("no pipe");
        pid = fork();
        if (pid == 0) {
            signal(SIGPIPE, SIG_IGN);
            pin(core);
            event::Loop loop;
            body(loop, [&](int p) { (void)!write(ends[1], &p, sizeof p); });
            _exit(0);
        }
        close(ends[1]);
        if (read(ends[0], &port, sizeof port) != sizeof port)
            throw std::runtime_error("a server did not start");
        close(ends[0]);
    }
    ~Child() {
        kill(pid, SIGKILL);
        waitpid(pid, nullptr, 0);
    }
    double cpu_seconds() const {  // user and system
        std::ifstream in(fmt::format("/proc/{}/stat", pid));
        std::string text((std::istreambuf_iterator<char>(in)), {});
        std::istringstream rest(text.substr(text.rfind(')') + 2));
        std::string skip;
        for (int i = 0; i < 11; ++i)
            rest >> skip;
        double user = 0, system = 0;
        rest >> user >> system;
        return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
    }
    long resident_kib() const {
        std::ifstream in(fmt::format("/proc/{}/status", pid));
        for (std::string line; std::getline(in, line);)
            if (line.starts_with("VmRSS:")) return std::atol(line.c_str() + 6);
        return 0;
    }
};

std::unique_ptr<config::Config> config_for(const std::string& folder) {
    const std::string text = R"(listen { address: "127.0.0.1:0" }
api { description: "api.yaml" }
class { name: "read" aim_ms: 800 deadline_ms: 2000 }
plan { name: "basic" rate: 1000000 burst: 1000000 }
account { name: "birds" plan: "basic" key: "k1" }
hosts { file: "hosts.json" max_connections: 256 }
attempts { most: 3 second_copies: true }
log { level: WARNING }
seed: 1
)";
    std::ofstream(folder + "/api.yaml")
        << "openapi: 3.1.0\nx-silverreach-class: read\nx-silverreach-units: 1\n"
           "components: {securitySchemes: {k: {type: apiKey, in: header, name: X-Key}}}\nsecurity: "
           "[{k: "
           "[]}]\n"
           "paths:\n  /sites/{id}/tally: {get: {parameters: [{name: id, in: path}]}}\n";
    std::vector<openapi::Problem> problems;
    auto config = config::parse(text, "bench", problems);
    for (const auto& p : problems)
        std::cerr << openapi::to_string(p) << "\n";
    return config;
}

// The node's configuration, and a look-up of an account far below its quota.
platform::NodeConfig node_config(const std::string& targets) {
    return platform::read_config(
        R"({"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1","limits":{"memory_mb":64,"sockets":512},
"known":{"rev":1,"all":true,"targets":[)" +
            targets + R"(]},"settings":{"rank":0,"instances":1,"tickUs":2000,
"requestClasses":[{"name":"read","effect":"retryable","deadlineUs":2000000,"promiseUs":800000}],
"tiersOfService":[{"name":"basic","rate":1000000,"mostAtOnce":1000000}],
"ceilings":{"maxAttempts":3,"mayDuplicate":true},"guarantees":{}}})",
        [](const char*) -> const char* { return nullptr; });
}
std::string node_query(std::size_t& id_at) {
    std::string out;
    resp::append_array(out, 4);
    resp::append_bulk(out, "SVC.QUERY");
    resp::append_bulk(out, "00000000b4d65521");
    id_at = out.size() + 5;
    resp::append_bulk(out, "0000000000000000");
    resp::append_bulk(out, "c=read,t=basic,d=2000,units=1,spread=1,first=0");
    return out;
}
}  // namespace

int main() {
    char name[] = "/tmp/silverreach-bench-XXXXXX";
    const std::string folder = mkdtemp(name);
    rlimit limit{};
    getrlimit(RLIMIT_NOFILE, &limit);
    limit.rlim_cur = limit.rlim_max;
    setrlimit(RLIMIT_NOFILE, &limit);
    const auto config = config_for(folder);
    if (!config) return 1;
    std::vector<std::unique_ptr<Child>> backs;
    std::vector<std::string> addresses;
    std::string list;
    for (int i = 0; i < hosts; ++i) {
        backs.push_back(
            std::make_unique<Child>(1, [](event::Loop& loop, const std::function<void(int)>& tell) {
                bench::FixedHost host(loop, 200);
                tell(host.port());
                loop.run();
            }));
        addresses.push_back(fmt::format("127.0.0.1:{}", backs.back()->port));
        list += fmt::format(
            "{}{{\"endpoint\":{{\"address\":{{\"socketAddress\":{{\"address\":\"127.0.0.1\","
            "\"portValue\":{}}"
            "}}}}}}}",
            i ? "," : "", backs.back()->port);
    }
    std::ofstream(folder + "/hosts.json")
        << "{\"clusterName\":\"hosts\",\"endpoints\":[{\"lbEndpoints\":[" << list << "]}]}";
    const auto start_gateway = [&](event::Loop& loop, const std::function<void(int)>& tell) {
        log::Log log(log::Format::json, log::Level::warning, folder + "/log");
        cli::Instance instance(loop, *config, folder, log);
        tell(instance.port());
        loop.run();
    };
    // First, while this process is small: what a fork inherits would hide what connections take.
    {
        Child fresh(0, start_gateway);
        const long before = fresh.resident_kib();
        std::vector<event::Fd> idle;
        for (int i = 0; i < 9000; ++i) {
            int error = 0;
            idle.push_back(event::connect_to("127.0.0.1", fresh.port, false, error));
            if (i % 100 == 0) usleep(5000);
        }
        usleep(500'000);
        int taken = 0;
        for (const auto& entry :
             std::filesystem::directory_iterator(fmt::format("/proc/{}/fd", fresh.pid)))
            (void)entry, ++taken;
        if (taken < 9000) std::cout << "only " << taken << " descriptors open at the gateway\n";
        std::cout << fmt::format(
            "idle connection: {:.1f} KiB resident each, over {}\n",
            static_cast<double>(fresh.resident_kib() - before) / static_cast<double>(idle.size()),
            idle.size());
    }
    Child relay(0, [&](event::Loop& loop, const std::function<void(int)>& tell) {
        bench::BareRelay bare(loop, *config, addresses);
        tell(bare.port());
        loop.run();
    });
    Child gateway(0, start_gateway);
    std::vector<std::unique_ptr<Child>> resp_backs;
    std::string targets_json;
    for (int i = 0; i < hosts; ++i) {
        resp_backs.push_back(
            std::make_unique<Child>(1, [](event::Loop& loop, const std::function<void(int)>& tell) {
                bench::FixedHost host(loop, 200, bench::Protocol::resp);
                tell(host.port());
                loop.run();
            }));
        targets_json +=
            fmt::format(R"({}{{"uid":"s-{}","endpoint":"127.0.0.1:{}","state":"ready"}})",
                        i ? "," : "", i, resp_backs.back()->port);
    }
    Child node(0, [&](event::Loop& loop, const std::function<void(int)>& tell) {
        log::Log log(log::Format::json, log::Level::error, folder + "/node.log");
        cli::Node running(loop, node_config(targets_json), log);
        tell(running.port());
        loop.run();
    });
    pin(2);
    bench::Load load;
    load.request =
        "GET /sites/merja/tally HTTP/1.1\r\nHost: birds\r\nX-Key: k1\r\nAccept: "
        "application/json\r\nUser-Agent: bench\r\n\r\n";
    struct Target {
        const char* name;
        int port;
        const Child* child;
        bench::Protocol protocol = bench::Protocol::http;
        double best = 0, cpu_us = 0;
    } targets[] = {{"host directly", backs[0]->port, backs[0].get()},
                   {"bare relay", relay.port, &relay},
                   {"gateway", gateway.port, &gateway},
                   {"RESP host", resp_backs[0]->port, resp_backs[0].get(), bench::Protocol::resp},
                   {"node", node.port, &node, bench::Protocol::resp}};
    const std::string http_request = load.request;
    std::size_t id_at = 0;
    const std::string resp_request = node_query(id_at);
    const auto aim = [&](const Target& t) {
        const bool resp = t.protocol == bench::Protocol::resp;
        load.port = t.port, load.protocol = t.protocol;
        load.request = resp ? resp_request : http_request, load.id_at = resp ? id_at : 0;
    };
    std::cout << fmt::format("{} connections, {} hosts, 200-byte answers; best of {} rounds\n",
                             load.connections, hosts, rounds);
    for (int round = 0; round < rounds; ++round)
        for (Target& t : targets) {
            aim(t);
            const double before = t.child->cpu_seconds();
            const auto r = bench::run(load);
            const double cpu = (t.child->cpu_seconds() - before) * r.seconds / (r.seconds + 0.5);
            if (r.bad) std::cout << fmt::format("{}: {} bad answers\n", t.name, r.bad);
            if (r.rate() > t.best)
                t.best = r.rate(), t.cpu_us = cpu / static_cast<double>(r.answers) * 1e6;
        }
    for (const Target& t : targets)
        std::cout << fmt::format(
            "{:<14}{:>9.0f} requests/s {:>7.1f} us CPU a request {:>7.2f} of the bare relay\n",
            t.name, t.best, t.cpu_us, t.best / targets[1].best);
    load.rate = targets[2].best / 2;
    std::cout << fmt::format("at {:.0f} requests/s, half of the gateway's:\n", load.rate);
    double p99[5] = {};
    for (int i = 0; i < 5; ++i) {
        aim(targets[i]);
        const auto r = bench::run(load);
        p99[i] = r.percentile(0.99);
        std::cout << fmt::format("{:<14}p50 {:>6.0f} us  p99 {:>6.0f} us  p99.9 {:>6.0f} us\n",
                                 targets[i].name, r.percentile(0.5), p99[i], r.percentile(0.999));
    }
    std::cout << fmt::format(
        "added at the 99th percentile: {:.0f} us against the host, {:.0f} us against the relay\n",
        p99[2] - p99[0], p99[2] - p99[1]);
    std::cout << fmt::format("added by the node: {:.0f} us against its host\n", p99[4] - p99[3]);

    std::system(("rm -rf '" + folder + "'").c_str());
    return 0;
}
