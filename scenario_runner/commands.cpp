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
enum Exit {
    done = 0,
    bad_answer = 1,
    system_refused = 3
};

std::string folder_of(const std::string& path) {
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

std::string own_folder() {
    std::string name = "/tmp/silverreach-drill-XXXXXX";
    if (!mkdtemp(name.data())) throw std::runtime_error(name + ": cannot be made");
    return name;
}

// A fleet's days, one row each, and what of their own bounds is broken.
int run_fleet(const std::string& text, const std::string& path, std::string work, bool keep,
              bool quiet, bool in_virtual_time) {
    std::vector<FleetDay> days;
    std::vector<openapi::Problem> problems;
    if (!parse_fleet(text, path, days, problems)) {
        for (const auto& p : problems)
            std::cerr << openapi::to_string(p) << "\n";
        return Exit::bad_answer;
    }
    const bool own = work.empty();
    if (own && !in_virtual_time) work = own_folder();
    if (!own) mkdir(work.c_str(), 0755);
    bool kept = true;
    std::cout << fleet_heading();
    for (const FleetDay& day : days) {
        if (!quiet) std::cerr << day.name << " ..." << std::endl;
        const FleetResult result =
            in_virtual_time ? play_virtual(day, config::Config().peers().messages_per_s())
                            : play_sockets(day, "/proc/self/exe", work);
        const FleetRow row = measure(day, result.tries, result.traffic);
        std::cout << text_of(day, row);
        for (const auto& what : held_against(day, row))
            kept = false, std::cout << "    BROKEN " << what << "\n";
        for (const auto& what : result.troubles)
            kept = false, std::cout << "    TROUBLE " << what << "\n";
        std::cout << std::flush;
    }
    std::cout << (kept ? "VERDICT all bounds kept\n" : "VERDICT not kept\n");
    if (own && kept && !keep)
        std::filesystem::remove_all(work);
    else if (!in_virtual_time)
        std::cout << "configurations and logs: " << work << "\n";
    return kept ? Exit::done : Exit::bad_answer;
}

int run_drill(const std::string& path, std::string work, bool keep, bool quiet,
              bool in_virtual_time) {
    Scenario scenario;
    std::vector<openapi::Problem> problems;
    const std::string text = read_text(path);
    if (is_fleet(text, path))
        return run_fleet(text, path, std::move(work), keep, quiet, in_virtual_time);
    if (in_virtual_time)
        throw std::runtime_error(path + ": only a fleet scenario runs in virtual time");
    if (!parse_scenario(text, path, scenario, problems)) {
        for (const auto& p : problems)
            std::cerr << openapi::to_string(p) << "\n";
        return Exit::bad_answer;
    }
    const bool own = work.empty();
    if (own) {
        work = own_folder();
    } else {
        mkdir(work.c_str(), 0755);
    }
    const DayResult day =
        play(scenario, "/proc/self/exe", folder_of(path), work, [&](const std::string& line) {
            if (!quiet) std::cerr << line << std::endl;
        });
    std::cout << "Who was served, refused and why (tries of clients):\n"
              << summary(day.records) << "\n"
              << text_of(day.verdict);
    for (const std::string& trouble : day.troubles)
        std::cout << "TROUBLE " << trouble << "\n";
    const bool good = day.verdict.kept() && day.troubles.empty();
    std::cout << (good ? "VERDICT all rules kept\n" : "VERDICT not kept\n");
    if (own && good && !keep)
        std::filesystem::remove_all(work);
    else
        std::cout << "records, configurations and logs: " << work << "\n";
    return good ? Exit::done : Exit::bad_answer;
}

int run_host(const fakes::HostSettings& settings, bool cold) {
    event::Loop loop;
    fakes::Recorder records("/dev/stdout");
    auto group = std::make_shared<fakes::Group>();
    fakes::Host host(loop, settings, 1, records, group, [](const std::string&) { return ""; });
    if (cold) host.kill(), host.start(true);
    std::cerr << "listening on " << host.address() << std::endl;
    event::Signal term(loop, SIGTERM, [&] { loop.stop(); }),
        interrupt(loop, SIGINT, [&] { loop.stop(); });
    loop.run();
    return Exit::done;
}

int run_client(const fakes::Flow& flow, int port, Micros span) {
    event::Loop loop;
    fakes::Recorder records("/dev/stdout");
    fakes::Clients clients(loop, 1, records, [port] { return std::vector<int>{port}; });
    clients.run(flow, span);
    loop.after(span + flow.deadline + 500ms, [&] { loop.stop(); });
    event::Signal interrupt(loop, SIGINT, [&] { loop.stop(); });
    loop.run();
    std::cerr << summary(records.all());
    return Exit::done;
}

int run_roster(const std::vector<std::string>& hosts, const std::string& cluster) {
    event::Loop loop;
    fakes::Recorder records("/dev/stdout");
    fakes::DiscoveryServer roster(loop, cluster, Micros(0), records);
    for (const std::string& host : hosts)
        roster.set(host, {});
    std::cerr << "listening on 127.0.0.1:" << roster.port() << std::endl;
    event::Signal term(loop, SIGTERM, [&] { loop.stop(); }),
        interrupt(loop, SIGINT, [&] { loop.stop(); });
    loop.run();
    return Exit::done;
}
int run_relay(const std::vector<std::string>& gateways, double loss, double least_ms,
              double most_ms) {
    std::vector<std::pair<std::string, int>> own;
    for (const std::string& text : gateways) {
        const auto at = config::parse_endpoint(text);
        if (!at || at->is_ipv6)
            throw std::runtime_error(text + ": expected an IPv4 address and port");
        own.emplace_back(at->ip, at->port);
    }
    event::Loop loop;
    fakes::Relay relay(loop, own, 1);
    relay.set(loss, Micros(static_cast<std::int64_t>(least_ms * 1000)),
              Micros(static_cast<std::int64_t>(most_ms * 1000)));
    const int n = static_cast<int>(own.size());
    for (int from = 0; from < n; ++from)
        for (int to = 0; to < n; ++to)
            std::cout << fmt::format(
                "gateway {}: peer {{ rank: {} address: \"{}\" }}\n", from, to,
                from == to ? gateways[static_cast<std::size_t>(to)] : relay.address(from, to));
    std::cout << std::flush;
    event::Signal term(loop, SIGTERM, [&] { loop.stop(); }),
        interrupt(loop, SIGINT, [&] { loop.stop(); });
    loop.run();
    std::cerr << fmt::format("carried {}, lost {}\n", relay.carried(), relay.lost());
    return Exit::done;
}
}  // namespace

void add_commands(CLI::App& app, int& code) {
    struct Options {
        std::string path, work, cluster = "hosts";
        bool keep = false, quiet = false, cold = false, in_virtual_time = false;
        fakes::HostSettings host;
        fakes::Flow flow;
        double work_ms = 20, cold_ms = 0, deadline_ms = 1000, seconds = 10;
        double loss = 0, least_ms = 0, most_ms = 0;
        int port = 0;
        std::vector<std::string> hosts, gateways;
    };
    auto o = std::make_shared<Options>();

    auto* drill = app.add_subcommand(
        "drill", "Play a scenario on loopback and judge the rules; 1 where one is broken");
    drill->add_option("SCENARIO", o->path, "Scenario, YAML")->required();
    drill->add_option("--work", o->work, "Folder for configurations, logs and records; kept");
    drill->add_flag("--keep", o->keep, "Keep the folder made for the day");
    drill->add_flag("--quiet", o->quiet, "No progress on standard error");
    drill->add_flag("--virtual", o->in_virtual_time,
                    "A fleet scenario in virtual time: no sockets, any size");
    drill->callback(
        [o, &code] { code = run_drill(o->path, o->work, o->keep, o->quiet, o->in_virtual_time); });

    auto* standin =
        app.add_subcommand("standin", "One stand-in alone: host, client, relay or roster");
    standin->require_subcommand(1);
    auto* host = standin->add_subcommand("host", "A tally host; records on standard output");
    host->add_option("--port", o->host.port, "0: any");
    host->add_option("--ip", o->host.ip, "127.0.0.1 or ::1");
    host->add_option("--cores", o->host.tally.cores)->check(CLI::PositiveNumber);
    host->add_option("--room", o->host.tally.room, "Requests that may wait");
    host->add_option("--work-ms", o->work_ms, "Mean work of a request");
    host->add_option("--cold-ms", o->cold_ms, "Time until warm");
    host->callback([o, &code] {
        o->host.mean_work = Micros(static_cast<std::int64_t>(o->work_ms * 1000));
        o->host.tally.cold = Micros(static_cast<std::int64_t>(o->cold_ms * 1000));
        o->host.tally.start_capacity = 0.2;
        code = run_host(o->host, o->cold_ms > 0);
    });
    auto* client = standin->add_subcommand(
        "client", "Clients of one account; records on standard output, a table at the end");
    client->add_option("--port", o->port, "The gateway's")->required();
    client->add_option("--key", o->flow.key)->required();
    client->add_option("--target", o->flow.target);
    client->add_option("--method", o->flow.method);
    client->add_option("--rate", o->flow.rate, "Requests a second");
    client->add_option("--units", o->flow.units);
    client->add_option("--retries", o->flow.retries);
    client->add_option("--deadline-ms", o->deadline_ms);
    client->add_option("--seconds", o->seconds);
    client->callback([o, &code] {
        o->flow.account = "client";
        o->flow.deadline = Micros(static_cast<std::int64_t>(o->deadline_ms * 1000));
        code = run_client(o->flow, o->port, Micros(static_cast<std::int64_t>(o->seconds * 1e6)));
    });
    auto* roster =
        standin->add_subcommand("roster", "A discovery service that lists the hosts given");
    roster->add_option("HOST", o->hosts, "ip:port")->required();
    roster->add_option("--cluster", o->cluster);
    roster->callback([o, &code] { code = run_roster(o->hosts, o->cluster); });
    auto* relay = standin->add_subcommand(
        "relay", "Carries gateways' messages; prints what each must have for its peers");
    relay->add_option("GATEWAY", o->gateways, "Own addresses of the gateways by rank, ip:port")
        ->required()
        ->expected(2, 100);
    relay->add_option("--loss", o->loss, "Share of messages lost")->check(CLI::Range(0.0, 1.0));
    relay->add_option("--least-delay-ms", o->least_ms)->check(CLI::NonNegativeNumber);
    relay->add_option("--most-delay-ms", o->most_ms)->check(CLI::NonNegativeNumber);
    relay->callback(
        [o, &code] { code = run_relay(o->gateways, o->loss, o->least_ms, o->most_ms); });
}

}  // namespace silverreach::scenario
