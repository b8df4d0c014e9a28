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
#include "scenario_runner/drill.h"

namespace silverreach::cli {
namespace {
using namespace std::chrono_literals;
constexpr Micros drain_most = 5s, counts_period = 10s;

std::optional<std::string> read_or_stdin(const std::string& path) {
    if (path != "-") return read_file(path);
    return std::string(std::istreambuf_iterator<char>(std::cin), {});
}
void print(const std::vector<openapi::Problem>& problems) {
    for (const auto& p : problems)
        std::cerr << openapi::to_string(p) << "\n";
    if (problems.size() > 1) std::cerr << problems.size() << " problems\n";
}

struct Loaded {
    std::unique_ptr<config::Config> config;
    int code = Exit::done;
};
Loaded load_config(const std::string& path) {
    const auto text = read_or_stdin(path);
    if (!text) {
        std::cerr << path << ": cannot be read\n";
        return {nullptr, Exit::system_refused};
    }
    std::vector<openapi::Problem> problems;
    auto config = config::parse(*text, path, problems);
    print(problems);
    return {std::move(config), problems.empty() ? Exit::done : Exit::bad_answer};
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
    const Micros until = event::Loop::clock() + start_most;
    bool told = false;
    while (true) {
        try {
            return std::make_unique<Instance>(loop, config, folder, log);
        } catch (const event::SystemError& error) {
            if (event::Loop::clock() >= until) throw;
            if (!std::exchange(told, true))
                log.write(log::Level::warning, "start_delayed",
                          {{"why", std::string(error.what())}});
        }
        std::this_thread::sleep_for(start_again);
    }
}

int serve(const std::string& path) {
    Loaded loaded = load_config(path);
    if (!loaded.config) return loaded.code;
    const config::Config& config = *loaded.config;
    raise_descriptor_limit();
    signal(SIGPIPE, SIG_IGN);
    try {
        log::Log log(static_cast<log::Format>(config.log().form()),
                     static_cast<log::Level>(config.log().level()), config.log().file());
        event::Loop loop;
        const auto started = start_instance(loop, config, folder_of(path), log);
        Instance& instance = *started;
        log.write(log::Level::warning, "listening",
                  {{"port", static_cast<std::int64_t>(instance.port())},
                   {"rank", static_cast<std::int64_t>(config.peers().rank())}});
        std::cout << "listening on port " << instance.port() << std::endl;
        const auto stop = [&] { instance.drain(drain_most, [&] { loop.stop(); }); };
        event::Signal term(loop, SIGTERM, stop), interrupt(loop, SIGINT, stop);
        event::Signal hup(loop, SIGHUP, [&] { instance.reload(); });
        std::function<void()> counts = [&] {
            instance.log_counts();
            loop.after(counts_period, counts);
        };
        loop.after(counts_period, counts);
        loop.run();
        instance.log_counts();
        log.write(log::Level::warning, "stopped", {});
    } catch (const std::exception& error) {
        std::cerr << error.what() << "\n";
        return Exit::system_refused;
    }
    return Exit::done;
}

int check(const std::string& path) {
    Loaded loaded = load_config(path);
    if (!loaded.config) return loaded.code;
    const std::string& name = loaded.config->api().description();
    const std::string file = name.starts_with('/') ? name : folder_of(path) + "/" + name;
    const auto text = read_file(file);
    if (!text) {
        std::cerr << file << ": cannot be read\n";
        return Exit::system_refused;
    }
    std::vector<openapi::Problem> problems;
    const auto description =
        openapi::load(*text, file, config::policy_of(*loaded.config), problems);
    print(problems);
    if (!description) return Exit::bad_answer;
    std::cout << fmt::format("{}: good; {}: good, {} routes\n", path, file,
                             description->table.routes().size());
    return Exit::done;
}

int routes(const std::string& path, const std::string& config_path) {
    openapi::Policy policy;
    policy.reject_unpriced = false;
    policy.default_class = "default";
    if (!config_path.empty()) {
        Loaded loaded = load_config(config_path);
        if (!loaded.config) return loaded.code;
        policy = config::policy_of(*loaded.config);
    }
    const auto text = read_or_stdin(path);
    if (!text) {
        std::cerr << path << ": cannot be read\n";
        return Exit::system_refused;
    }
    std::vector<openapi::Problem> problems;
    const auto description = openapi::load(*text, path, policy, problems);
    print(problems);
    if (!description) return Exit::bad_answer;
    std::cout << openapi::table_text(*description);
    if (config_path.empty())
        std::cout << "Without a configuration: class 'default' and 1 unit where none is given.\n";
    else if (policy.reject_unpriced)
        std::cout << "A route without class or cost is rejected.\n";
    else
        std::cout << fmt::format(
            "A route without class or cost counts as class '{}', {:g} units.\n",
            policy.default_class, policy.default_units);
    return Exit::done;
}
}  // namespace

int run(int argc, char** argv) {
    CLI::App app{
        "silverreach: an API gateway that keeps quotas and priorities over a fleet of instances"};
    app.require_subcommand(1);
    app.footer(
        "Exit codes: 0 done; 1 a bad file or a broken rule; 2 wrong usage; 3 the system refused "
        "something.");
    int code = Exit::done;
    std::string path, config_path;

    auto* serving =
        app.add_subcommand("serve",
                           "Run one instance. SIGHUP reads the description again; SIGTERM and "
                           "SIGINT end it after what is in hand");
    serving->add_option("--config", path, "Configuration, protobuf text format")->required();
    serving->callback([&] { code = serve(path); });

    auto* noding = app.add_subcommand(
        "node",
        "Run one instance on the operators' platform, configured by NODE_CONFIG. SIGHUP follows "
        "another discovery; SIGTERM ends it after what is in hand");
    noding->callback([&] { code = run_node(); });

    auto* checking = app.add_subcommand(
        "check", "Check a configuration and its description; all errors at once");
    checking->add_option("--config", path, "Configuration; - for standard input")->required();
    checking->callback([&] { code = check(path); });

    auto* listing =
        app.add_subcommand("routes", "Show a description's routes as the gateway understands them");
    listing->add_option("FILE", path, "OpenAPI description; - for standard input")->required();
    listing->add_option("--config", config_path, "Classes and policy from this configuration");
    listing->callback([&] { code = routes(path, config_path); });

    add_key_commands(app, code);
    scenario::add_commands(app, code);

    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& error) {
        return app.exit(error) == 0 ? Exit::done : Exit::bad_usage;
    } catch (const std::exception& error) {
        std::cerr << error.what() << "\n";
        return Exit::system_refused;
    }
    return code;
}

}  // namespace silverreach::cli
