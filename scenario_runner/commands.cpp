#include <fmt/format.h>
#include <sys/stat.h>

#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>

#include "config/config.h"
#include "event/signal.h"
#include "fakes/discovery_server.h"
#include "fakes/relay.h"
#include "scenario_runner/fleet/socket_fleet.h"
#include "scenario_runner/scenario_run.h"

namespace silverreach::scenario {
namespace {
using namespace std::chrono_literals;
enum ExitCode {
    success = 0,
    check_failed = 1,
    system_error = 3
};

std::string parent_folder(const std::string& path) {
    const std::size_t slash = path.rfind('/');
    return slash == std::string::npos ? "." : path.substr(0, slash);
}
std::string read_text(const std::string& path) {
    if (path == "-") return std::string(std::istreambuf_iterator<char>(std::cin), {});
    std::ifstream in(path, std::ios::binary);
    std::ostringstream text;
    if (!in || !(text << in.rdbuf())) throw std::runtime_error(path + ": cannot be read");
    return text.str();
}

std::string make_work_folder() {
    std::string name = "/tmp/silverreach-drill-XXXXXX";
    if (!mkdtemp(name.data())) throw std::runtime_error(name + ": cannot be created");
    return name;
}

// Runs fleet scenarios; prints a row for each and the bounds that it breaks.
int run_fleet(const std::string& text, const std::string& path, std::string work, bool keep,
              bool quiet, bool in_virtual_time) {
    std::vector<FleetScenario> scenarios;
    std::vector<openapi::Problem> problems;
    if (!parse_fleet_scenarios(text, path, scenarios, problems)) {
        for (const auto& problem : problems)
            std::cerr << openapi::to_string(problem) << "\n";
        return ExitCode::check_failed;
    }
    const bool is_temporary = work.empty();
    if (is_temporary && !in_virtual_time) work = make_work_folder();
    if (!is_temporary) mkdir(work.c_str(), 0755);
    bool passed = true;
    std::cout << format_heading();
    for (const FleetScenario& scenario : scenarios) {
        if (!quiet) std::cerr << scenario.name << " ..." << std::endl;
        const FleetResult result =
            in_virtual_time ? simulate_fleet(scenario, config::Config().peers().messages_per_s())
                            : run_fleet_on_sockets(scenario, "/proc/self/exe", work);
        const FleetMetrics metrics = measure(scenario, result.requests, result.traffic);
        std::cout << format_row(scenario, metrics);
        for (const auto& violation : find_broken_bounds(scenario, metrics))
            passed = false, std::cout << "    BROKEN " << violation << "\n";
        for (const auto& error : result.errors)
            passed = false, std::cout << "    TROUBLE " << error << "\n";
        std::cout << std::flush;
    }
    std::cout << (passed ? "VERDICT all bounds kept\n" : "VERDICT not kept\n");
    if (is_temporary && passed && !keep)
        std::filesystem::remove_all(work);
    else if (!in_virtual_time)
        std::cout << "configurations and logs: " << work << "\n";
    return passed ? ExitCode::success : ExitCode::check_failed;
}

int run_drill(const std::string& path, std::string work, bool keep, bool quiet,
              bool in_virtual_time) {
    Scenario scenario;
    std::vector<openapi::Problem> problems;
    const std::string text = read_text(path);
    if (is_fleet_scenario(text, path))
        return run_fleet(text, path, std::move(work), keep, quiet, in_virtual_time);
    if (in_virtual_time)
        throw std::runtime_error(path + ": only fleet scenarios run in virtual time");
    if (!parse_scenario(text, path, scenario, problems)) {
        for (const auto& problem : problems)
            std::cerr << openapi::to_string(problem) << "\n";
        return ExitCode::check_failed;
    }
    const bool is_temporary = work.empty();
    if (is_temporary) {
        work = make_work_folder();
    } else {
        mkdir(work.c_str(), 0755);
    }
    const ScenarioResult result = run_scenario(scenario, "/proc/self/exe", parent_folder(path),
                                               work, [&](const std::string& line) {
                                                   if (!quiet) std::cerr << line << std::endl;
                                               });
    std::cout << "Results of client requests by account:\n"
              << format_summary(result.records) << "\n"
              << format_report(result.report);
    for (const std::string& error : result.errors)
        std::cout << "TROUBLE " << error << "\n";
    const bool passed = result.report.passed() && result.errors.empty();
    std::cout << (passed ? "VERDICT all rules kept\n" : "VERDICT not kept\n");
    if (is_temporary && passed && !keep)
        std::filesystem::remove_all(work);
    else
        std::cout << "records, configurations and logs: " << work << "\n";
    return passed ? ExitCode::success : ExitCode::check_failed;
}

int run_host(const fakes::HostSettings& settings, bool starts_cold) {
    event::Loop loop;
    fakes::Recorder records("/dev/stdout");
    auto group = std::make_shared<fakes::DeduplicationGroup>();
    fakes::Host host(loop, settings, 1, records, group, [](const std::string&) { return ""; });
    if (starts_cold) host.kill(), host.start(true);
    std::cerr << "listening on " << host.address() << std::endl;
    event::Signal on_terminate(loop, SIGTERM, [&] { loop.stop(); }),
        on_interrupt(loop, SIGINT, [&] { loop.stop(); });
    loop.run();
    return ExitCode::success;
}

int run_clients(const fakes::Flow& flow, int port, Micros duration) {
    event::Loop loop;
    fakes::Recorder records("/dev/stdout");
    fakes::Clients clients(loop, 1, records, [port] { return std::vector<int>{port}; });
    clients.run(flow, duration);
    loop.after(duration + flow.deadline + 500ms, [&] { loop.stop(); });
    event::Signal on_interrupt(loop, SIGINT, [&] { loop.stop(); });
    loop.run();
    std::cerr << format_summary(records.all());
    return ExitCode::success;
}

int run_discovery(const std::vector<std::string>& hosts, const std::string& cluster) {
    event::Loop loop;
    fakes::Recorder records("/dev/stdout");
    fakes::DiscoveryServer discovery(loop, cluster, Micros(0), records);
    for (const std::string& host : hosts)
        discovery.set(host, {});
    std::cerr << "listening on 127.0.0.1:" << discovery.port() << std::endl;
    event::Signal on_terminate(loop, SIGTERM, [&] { loop.stop(); }),
        on_interrupt(loop, SIGINT, [&] { loop.stop(); });
    loop.run();
    return ExitCode::success;
}
int run_relay(const std::vector<std::string>& gateways, double loss, double min_delay_ms,
              double max_delay_ms) {
    std::vector<std::pair<std::string, int>> addresses;
    for (const std::string& text : gateways) {
        const auto endpoint = config::parse_endpoint(text);
        if (!endpoint || endpoint->is_ipv6)
            throw std::runtime_error(text + ": expected an IPv4 address and port");
        addresses.emplace_back(endpoint->ip, endpoint->port);
    }
    event::Loop loop;
    fakes::Relay relay(loop, addresses, 1);
    relay.set_network(loss, Micros(static_cast<std::int64_t>(min_delay_ms * 1000)),
                      Micros(static_cast<std::int64_t>(max_delay_ms * 1000)));
    const int gateway_count = static_cast<int>(addresses.size());
    for (int from = 0; from < gateway_count; ++from)
        for (int to = 0; to < gateway_count; ++to)
            std::cout << fmt::format(
                "gateway {}: peer {{ rank: {} address: \"{}\" }}\n", from, to,
                from == to ? gateways[static_cast<std::size_t>(to)] : relay.address(from, to));
    std::cout << std::flush;
    event::Signal on_terminate(loop, SIGTERM, [&] { loop.stop(); }),
        on_interrupt(loop, SIGINT, [&] { loop.stop(); });
    loop.run();
    std::cerr << fmt::format("forwarded {}, dropped {}\n", relay.forwarded(), relay.dropped());
    return ExitCode::success;
}
}  // namespace

void add_commands(CLI::App& app, int& code) {
    struct Options {
        std::string path, work, cluster = "hosts";
        bool keep = false, quiet = false, starts_cold = false, in_virtual_time = false;
        fakes::HostSettings host;
        fakes::Flow flow;
        double work_ms = 20, cold_ms = 0, deadline_ms = 1000, seconds = 10;
        double loss = 0, min_delay_ms = 0, max_delay_ms = 0;
        int port = 0;
        std::vector<std::string> hosts, gateways;
    };
    auto options = std::make_shared<Options>();

    auto* drill_command = app.add_subcommand(
        "drill",
        "Run a scenario on loopback and check the invariants; exit code 1 if one is violated");
    drill_command->add_option("SCENARIO", options->path, "Scenario file, YAML")->required();
    drill_command->add_option("--work", options->work,
                              "Folder for configurations, logs and records; not deleted");
    drill_command->add_flag("--keep", options->keep, "Keep the temporary folder");
    drill_command->add_flag("--quiet", options->quiet, "Print no progress on standard error");
    drill_command->add_flag("--virtual", options->in_virtual_time,
                            "Run a fleet scenario in virtual time, without sockets");
    drill_command->callback([options, &code] {
        code = run_drill(options->path, options->work, options->keep, options->quiet,
                         options->in_virtual_time);
    });

    auto* standin_command =
        app.add_subcommand("standin", "Run one fake: host, client, relay or roster");
    standin_command->require_subcommand(1);
    auto* host_command = standin_command->add_subcommand(
        "host", "Run a fake host; prints records on standard output");
    host_command->add_option("--port", options->host.port, "Port; 0: any free port");
    host_command->add_option("--ip", options->host.ip, "Address, 127.0.0.1 or ::1");
    host_command->add_option("--cores", options->host.model.cores)->check(CLI::PositiveNumber);
    host_command->add_option("--room", options->host.model.queue_limit, "Limit of queued requests");
    host_command->add_option("--work-ms", options->work_ms, "Mean work of a request, milliseconds");
    host_command->add_option("--cold-ms", options->cold_ms,
                             "Slow start window, milliseconds; 0: none");
    host_command->callback([options, &code] {
        options->host.mean_work = Micros(static_cast<std::int64_t>(options->work_ms * 1000));
        options->host.model.slow_start_window =
            Micros(static_cast<std::int64_t>(options->cold_ms * 1000));
        options->host.model.initial_capacity_share = 0.2;
        code = run_host(options->host, options->cold_ms > 0);
    });
    auto* client_command = standin_command->add_subcommand(
        "client",
        "Run clients of one account; prints records on standard output and a table at the end");
    client_command->add_option("--port", options->port, "Port of the gateway")->required();
    client_command->add_option("--key", options->flow.key)->required();
    client_command->add_option("--target", options->flow.target);
    client_command->add_option("--method", options->flow.method);
    client_command->add_option("--rate", options->flow.rate, "Requests per second");
    client_command->add_option("--units", options->flow.units);
    client_command->add_option("--retries", options->flow.retries);
    client_command->add_option("--deadline-ms", options->deadline_ms);
    client_command->add_option("--seconds", options->seconds);
    client_command->callback([options, &code] {
        options->flow.account = "client";
        options->flow.deadline = Micros(static_cast<std::int64_t>(options->deadline_ms * 1000));
        code = run_clients(options->flow, options->port,
                           Micros(static_cast<std::int64_t>(options->seconds * 1e6)));
    });
    auto* discovery_command = standin_command->add_subcommand(
        "roster", "Run a discovery service that lists the given hosts");
    discovery_command->add_option("HOST", options->hosts, "ip:port")->required();
    discovery_command->add_option("--cluster", options->cluster);
    discovery_command->callback(
        [options, &code] { code = run_discovery(options->hosts, options->cluster); });
    auto* relay_command = standin_command->add_subcommand(
        "relay",
        "Forward messages between gateways; prints the peer configuration of each gateway");
    relay_command
        ->add_option("GATEWAY", options->gateways, "Addresses of the gateways by rank, ip:port")
        ->required()
        ->expected(2, 100);
    relay_command->add_option("--loss", options->loss, "Share of messages lost, 0 to 1")
        ->check(CLI::Range(0.0, 1.0));
    relay_command->add_option("--least-delay-ms", options->min_delay_ms)
        ->check(CLI::NonNegativeNumber);
    relay_command->add_option("--most-delay-ms", options->max_delay_ms)
        ->check(CLI::NonNegativeNumber);
    relay_command->callback([options, &code] {
        code = run_relay(options->gateways, options->loss, options->min_delay_ms,
                         options->max_delay_ms);
    });
}

}  // namespace silverreach::scenario
