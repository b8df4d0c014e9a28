#include "cli/commands.h"

#include <fmt/format.h>
#include <sys/resource.h>

#include <CLI/CLI.hpp>
#include <csignal>
#include <iostream>
#include <iterator>
#include <memory>
#include <thread>
#include <utility>

#include "cli/instance.h"
#include "cli/keys.h"
#include "cli/node_program.h"
#include "event/signal.h"
#include "event/system_error.h"
#include "scenario_runner/scenario_run.h"

namespace silverreach::cli {
namespace {
using namespace std::chrono_literals;
constexpr Micros max_drain_time = 5s, counts_period = 10s;

std::optional<std::string> read_or_stdin(const std::string& path) {
    if (path != "-") return read_file(path);
    return std::string(std::istreambuf_iterator<char>(std::cin), {});
}
void print(const std::vector<openapi::Problem>& problems) {
    for (const auto& problem : problems)
        std::cerr << openapi::to_string(problem) << "\n";
    if (problems.size() > 1) std::cerr << problems.size() << " problems\n";
}

struct LoadedConfig {
    std::unique_ptr<config::Config> config;
    int exit_code = Exit::success;
};
LoadedConfig load_config(const std::string& path) {
    const auto text = read_or_stdin(path);
    if (!text) {
        std::cerr << path << ": cannot be read\n";
        return {nullptr, Exit::system_error};
    }
    std::vector<openapi::Problem> problems;
    auto config = config::parse(*text, path, problems);
    print(problems);
    return {std::move(config), problems.empty() ? Exit::success : Exit::check_failed};
}

// Raises the soft limit on descriptors to the hard limit, because each client and host needs one.
void raise_descriptor_limit() {
    rlimit limit{};
    if (getrlimit(RLIMIT_NOFILE, &limit) != 0) return;
    limit.rlim_cur = limit.rlim_max;
    setrlimit(RLIMIT_NOFILE, &limit);
}

// Retries on system errors, because an address in use or a full file table may be free shortly
// after.
std::unique_ptr<Instance> start_instance(event::Loop& loop, const config::Config& config,
                                         const std::string& folder, log::Log& log) {
    const Micros deadline = event::Loop::clock() + max_start_time;
    bool delay_logged = false;
    while (true) {
        try {
            return std::make_unique<Instance>(loop, config, folder, log);
        } catch (const event::SystemError& error) {
            if (event::Loop::clock() >= deadline) throw;
            if (!std::exchange(delay_logged, true))
                log.write(log::Level::warning, "start_delayed",
                          {{"why", std::string(error.what())}});
        }
        std::this_thread::sleep_for(start_retry_interval);
    }
}

int serve(const std::string& path) {
    LoadedConfig loaded = load_config(path);
    if (!loaded.config) return loaded.exit_code;
    const config::Config& config = *loaded.config;
    raise_descriptor_limit();
    signal(SIGPIPE, SIG_IGN);
    try {
        log::Log log(static_cast<log::Format>(config.log().form()),
                     static_cast<log::Level>(config.log().level()), config.log().file());
        event::Loop loop;
        const auto instance_owner = start_instance(loop, config, folder_of(path), log);
        Instance& instance = *instance_owner;
        log.write(log::Level::warning, "listening",
                  {{"port", static_cast<std::int64_t>(instance.port())},
                   {"rank", static_cast<std::int64_t>(config.peers().rank())}});
        std::cout << "listening on port " << instance.port() << std::endl;
        const auto stop = [&] { instance.drain(max_drain_time, [&] { loop.stop(); }); };
        event::Signal sigterm(loop, SIGTERM, stop), sigint(loop, SIGINT, stop);
        event::Signal sighup(loop, SIGHUP, [&] { instance.reload(); });
        std::function<void()> log_counts_periodically = [&] {
            instance.log_counts();
            loop.after(counts_period, log_counts_periodically);
        };
        loop.after(counts_period, log_counts_periodically);
        loop.run();
        instance.log_counts();
        log.write(log::Level::warning, "stopped", {});
    } catch (const std::exception& error) {
        std::cerr << error.what() << "\n";
        return Exit::system_error;
    }
    return Exit::success;
}

int check(const std::string& path) {
    LoadedConfig loaded = load_config(path);
    if (!loaded.config) return loaded.exit_code;
    const std::string& configured_path = loaded.config->api().description();
    const std::string description_path = configured_path.starts_with('/')
                                             ? configured_path
                                             : folder_of(path) + "/" + configured_path;
    const auto text = read_file(description_path);
    if (!text) {
        std::cerr << description_path << ": cannot be read\n";
        return Exit::system_error;
    }
    std::vector<openapi::Problem> problems;
    const auto description =
        openapi::load(*text, description_path, config::policy_of(*loaded.config), problems);
    print(problems);
    if (!description) return Exit::check_failed;
    std::cout << fmt::format("{}: valid; {}: valid, {} routes\n", path, description_path,
                             description->table.routes().size());
    return Exit::success;
}

int routes(const std::string& path, const std::string& config_path) {
    openapi::Policy policy;
    policy.reject_unpriced = false;
    policy.default_class = "default";
    if (!config_path.empty()) {
        LoadedConfig loaded = load_config(config_path);
        if (!loaded.config) return loaded.exit_code;
        policy = config::policy_of(*loaded.config);
    }
    const auto text = read_or_stdin(path);
    if (!text) {
        std::cerr << path << ": cannot be read\n";
        return Exit::system_error;
    }
    std::vector<openapi::Problem> problems;
    const auto description = openapi::load(*text, path, policy, problems);
    print(problems);
    if (!description) return Exit::check_failed;
    std::cout << openapi::format_routes(*description);
    if (config_path.empty())
        std::cout << "Without a configuration: class 'default' and 1 unit unless set.\n";
    else if (policy.reject_unpriced)
        std::cout << "A route without class or cost is rejected.\n";
    else
        std::cout << fmt::format(
            "A route without class or cost counts as class '{}', {:g} units.\n",
            policy.default_class, policy.default_units);
    return Exit::success;
}
}  // namespace

int run(int argc, char** argv) {
    CLI::App app{
        "silverreach: an API gateway that keeps quotas and priorities over a fleet of instances"};
    app.require_subcommand(1);
    app.footer(
        "Exit codes: 0 success; 1 invalid file or violated rule; 2 usage error; 3 system error.");
    int exit_code = Exit::success;
    std::string path, config_path;

    auto* serve_command = app.add_subcommand(
        "serve",
        "Run one instance. SIGHUP reloads the API description; SIGTERM and SIGINT "
        "stop it after the requests in flight");
    serve_command->add_option("--config", path, "Configuration, protobuf text format")->required();
    serve_command->callback([&] { exit_code = serve(path); });

    auto* node_command = app.add_subcommand("node",
                                            "Run one instance on the operators' platform, "
                                            "configured by NODE_CONFIG. SIGHUP reloads the "
                                            "address of the discovery service; SIGTERM and SIGINT "
                                            "stop it after the requests in flight");
    node_command->callback([&] { exit_code = run_node(); });

    auto* check_command = app.add_subcommand(
        "check", "Check a configuration and its API description; all errors are listed");
    check_command->add_option("--config", path, "Configuration; - for standard input")->required();
    check_command->callback([&] { exit_code = check(path); });

    auto* routes_command = app.add_subcommand(
        "routes", "Show the routes of an API description as the gateway reads them");
    routes_command->add_option("FILE", path, "OpenAPI description; - for standard input")
        ->required();
    routes_command->add_option("--config", config_path,
                               "Take classes and policy from this configuration");
    routes_command->callback([&] { exit_code = routes(path, config_path); });

    add_key_commands(app, exit_code);
    scenario::add_commands(app, exit_code);

    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& error) {
        return app.exit(error) == 0 ? Exit::success : Exit::usage_error;
    } catch (const std::exception& error) {
        std::cerr << error.what() << "\n";
        return Exit::system_error;
    }
    return exit_code;
}

}  // namespace silverreach::cli
