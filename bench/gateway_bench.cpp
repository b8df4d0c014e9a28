// Compares in one run on one machine: the host without a proxy, a bare relay, the gateway and the
// node. Measures throughput on one core, added latency at half load, and memory per idle
// connection.
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
constexpr int host_count = 4, rounds = 3;

void pin(int core) {
    cpu_set_t set;
    CPU_ZERO(&set);
    CPU_SET(core % std::max(1, static_cast<int>(sysconf(_SC_NPROCESSORS_ONLN))), &set);
    sched_setaffinity(0, sizeof set, &set);
}

// A server in a process of its own, pinned to one core. It reports its port through a pipe.
struct ServerProcess {
    pid_t pid = 0;
    int port = 0;
    ServerProcess(int core,
                  const std::function<void(event::Loop&, const std::function<void(int)>&)>& serve) {
        int pipe_ends[2];
        if (pipe(pipe_ends) != 0) throw std::runtime_error("cannot create a pipe");
        pid = fork();
        if (pid == 0) {
            signal(SIGPIPE, SIG_IGN);
            pin(core);
            event::Loop loop;
            serve(loop, [&](int listening_port) {
                (void)!write(pipe_ends[1], &listening_port, sizeof listening_port);
            });
            _exit(0);
        }
        close(pipe_ends[1]);
        if (read(pipe_ends[0], &port, sizeof port) != sizeof port)
            throw std::runtime_error("a server did not start");
        close(pipe_ends[0]);
    }
    ~ServerProcess() {
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

std::unique_ptr<config::Config> make_config(const std::string& folder) {
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
    for (const auto& problem : problems)
        std::cerr << openapi::to_string(problem) << "\n";
    return config;
}

// The configuration of the node; its queries stay far below the quota.
platform::NodeConfig make_node_config(const std::string& targets) {
    return platform::read_config(
        R"({"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1","limits":{"memory_mb":64,"sockets":512},
"known":{"rev":1,"all":true,"targets":[)" +
            targets + R"(]},"settings":{"rank":0,"instances":1,"tickUs":2000,
"requestClasses":[{"name":"read","effect":"retryable","deadlineUs":2000000,"promiseUs":800000}],
"tiersOfService":[{"name":"basic","rate":1000000,"mostAtOnce":1000000}],
"ceilings":{"maxAttempts":3,"mayDuplicate":true},"guarantees":{}}})",
        [](const char*) -> const char* { return nullptr; });
}
std::string make_node_query(std::size_t& id_offset) {
    std::string out;
    resp::append_array(out, 4);
    resp::append_bulk(out, "SVC.QUERY");
    resp::append_bulk(out, "00000000b4d65521");
    id_offset = out.size() + 5;
    resp::append_bulk(out, "0000000000000000");
    resp::append_bulk(out, "c=read,t=basic,d=2000,units=1,spread=1,first=0");
    return out;
}
}  // namespace

int main() {
    char folder_template[] = "/tmp/silverreach-bench-XXXXXX";
    const std::string folder = mkdtemp(folder_template);
    rlimit limit{};
    getrlimit(RLIMIT_NOFILE, &limit);
    limit.rlim_cur = limit.rlim_max;
    setrlimit(RLIMIT_NOFILE, &limit);
    const auto config = make_config(folder);
    if (!config) return 1;
    std::vector<std::unique_ptr<ServerProcess>> host_processes;
    std::vector<std::string> addresses;
    std::string endpoints_json;
    for (int i = 0; i < host_count; ++i) {
        host_processes.push_back(std::make_unique<ServerProcess>(
            1, [](event::Loop& loop, const std::function<void(int)>& report_port) {
                bench::FixedHost host(loop, 200);
                report_port(host.port());
                loop.run();
            }));
        addresses.push_back(fmt::format("127.0.0.1:{}", host_processes.back()->port));
        endpoints_json += fmt::format(
            "{}{{\"endpoint\":{{\"address\":{{\"socketAddress\":{{\"address\":\"127.0.0.1\","
            "\"portValue\":{}}"
            "}}}}}}}",
            i ? "," : "", host_processes.back()->port);
    }
    std::ofstream(folder + "/hosts.json")
        << "{\"clusterName\":\"hosts\",\"endpoints\":[{\"lbEndpoints\":[" << endpoints_json
        << "]}]}";
    const auto start_gateway = [&](event::Loop& loop, const std::function<void(int)>& report_port) {
        log::Log log(log::Format::json, log::Level::warning, folder + "/log");
        cli::Instance instance(loop, *config, folder, log);
        report_port(instance.port());
        loop.run();
    };
    // Measured first, while this process is small: memory inherited by fork() would hide the memory
    // of the connections.
    {
        ServerProcess idle_gateway(0, start_gateway);
        const long before = idle_gateway.resident_kib();
        std::vector<event::Fd> idle;
        for (int i = 0; i < 9000; ++i) {
            int error = 0;
            idle.push_back(event::connect_to("127.0.0.1", idle_gateway.port, false, error));
            if (i % 100 == 0) usleep(5000);
        }
        usleep(500'000);
        int open_descriptors = 0;
        for (const auto& entry :
             std::filesystem::directory_iterator(fmt::format("/proc/{}/fd", idle_gateway.pid)))
            (void)entry, ++open_descriptors;
        if (open_descriptors < 9000)
            std::cout << "only " << open_descriptors << " descriptors open at the gateway\n";
        std::cout << fmt::format("idle connection: {:.1f} KiB resident each, over {}\n",
                                 static_cast<double>(idle_gateway.resident_kib() - before) /
                                     static_cast<double>(idle.size()),
                                 idle.size());
    }
    ServerProcess relay(0, [&](event::Loop& loop, const std::function<void(int)>& report_port) {
        bench::BareRelay server(loop, *config, addresses);
        report_port(server.port());
        loop.run();
    });
    ServerProcess gateway(0, start_gateway);
    std::vector<std::unique_ptr<ServerProcess>> resp_host_processes;
    std::string targets_json;
    for (int i = 0; i < host_count; ++i) {
        resp_host_processes.push_back(std::make_unique<ServerProcess>(
            1, [](event::Loop& loop, const std::function<void(int)>& report_port) {
                bench::FixedHost host(loop, 200, bench::Protocol::resp);
                report_port(host.port());
                loop.run();
            }));
        targets_json +=
            fmt::format(R"({}{{"uid":"s-{}","endpoint":"127.0.0.1:{}","state":"ready"}})",
                        i ? "," : "", i, resp_host_processes.back()->port);
    }
    ServerProcess node(0, [&](event::Loop& loop, const std::function<void(int)>& report_port) {
        log::Log log(log::Format::json, log::Level::error, folder + "/node.log");
        cli::Node server(loop, make_node_config(targets_json), log);
        report_port(server.port());
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
        const ServerProcess* child;
        bench::Protocol protocol = bench::Protocol::http;
        double best_rate = 0, cpu_us = 0;
    } targets[] = {{"host directly", host_processes[0]->port, host_processes[0].get()},
                   {"bare relay", relay.port, &relay},
                   {"gateway", gateway.port, &gateway},
                   {"RESP host", resp_host_processes[0]->port, resp_host_processes[0].get(),
                    bench::Protocol::resp},
                   {"node", node.port, &node, bench::Protocol::resp}};
    const std::string http_request = load.request;
    std::size_t id_offset = 0;
    const std::string resp_request = make_node_query(id_offset);
    const auto set_target = [&](const Target& target) {
        const bool is_resp = target.protocol == bench::Protocol::resp;
        load.port = target.port, load.protocol = target.protocol;
        load.request = is_resp ? resp_request : http_request,
        load.id_offset = is_resp ? id_offset : 0;
    };
    std::cout << fmt::format("{} connections, {} hosts, 200-byte responses; best of {} rounds\n",
                             load.connections, host_count, rounds);
    for (int round = 0; round < rounds; ++round)
        for (Target& target : targets) {
            set_target(target);
            const double before = target.child->cpu_seconds();
            const auto result = bench::run(load);
            const double cpu =
                (target.child->cpu_seconds() - before) * result.seconds / (result.seconds + 0.5);
            if (result.failures)
                std::cout << fmt::format("{}: {} failed requests\n", target.name, result.failures);
            if (result.rate() > target.best_rate)
                target.best_rate = result.rate(),
                target.cpu_us = cpu / static_cast<double>(result.responses) * 1e6;
        }
    for (const Target& target : targets)
        std::cout << fmt::format(
            "{:<14}{:>9.0f} requests/s {:>7.1f} us CPU per request {:>7.2f} of the bare relay\n",
            target.name, target.best_rate, target.cpu_us, target.best_rate / targets[1].best_rate);
    load.rate = targets[2].best_rate / 2;
    std::cout << fmt::format("at {:.0f} requests/s, half of the gateway's:\n", load.rate);
    double p99_us[5] = {};
    for (int i = 0; i < 5; ++i) {
        set_target(targets[i]);
        const auto result = bench::run(load);
        p99_us[i] = result.percentile(0.99);
        std::cout << fmt::format("{:<14}p50 {:>6.0f} us  p99 {:>6.0f} us  p99.9 {:>6.0f} us\n",
                                 targets[i].name, result.percentile(0.5), p99_us[i],
                                 result.percentile(0.999));
    }
    std::cout << fmt::format(
        "added at the 99th percentile: {:.0f} us against the host, {:.0f} us against the relay\n",
        p99_us[2] - p99_us[0], p99_us[2] - p99_us[1]);
    std::cout << fmt::format("added by the node: {:.0f} us against its host\n",
                             p99_us[4] - p99_us[3]);

    std::system(("rm -rf '" + folder + "'").c_str());
    return 0;
}
