#include "cli/node_program.h"

#include <malloc.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <stdexcept>
#include <string_view>

#include "cli/commands.h"
#include "cli/files.h"
#include "cli/node.h"
#include "event/signal.h"
#include "event/system_error.h"

namespace silverreach::cli {
namespace {
using namespace std::chrono_literals;
constexpr Micros counts_period = 10s;
constexpr Micros drain_notice = 500ms;  // time for clients to learn that this instance stops
// The platform sends SIGKILL when `kill_grace` and the longest request deadline have passed after
// SIGTERM; a deadline above `max_counted_deadline` counts as `max_counted_deadline`.
constexpr Micros kill_grace = 700ms, max_counted_deadline = 3s;
constexpr Micros kill_margin = 100ms;   // time before SIGKILL for sending the last responses
constexpr Micros max_config_wait = 3s;  // retry time for an unreadable or incomplete file
constexpr Micros reload_retry_interval = 100ms;  // between attempts to load a new configuration
constexpr Micros max_reload_time = 10s;

// SILVERREACH_LOG=debug logs every request, attempt and closed connection.
log::Level log_level() {
    const char* level = getenv("SILVERREACH_LOG");
    return level && std::string_view(level) == "debug" ? log::Level::debug : log::Level::info;
}

// The file cannot be read or is not one JSON object, for example because it is being written.
struct IncompleteConfig : std::runtime_error {
    IncompleteConfig(const std::string& reason, int code)
        : std::runtime_error(reason), exit_code(code) {}
    int exit_code;
};
platform::NodeConfig load_config(const std::string& path) {
    const auto text = read_file(path);
    if (!text) throw IncompleteConfig(path + ": cannot be read", Exit::system_error);
    if (!platform::is_object(*text))
        throw IncompleteConfig(path + ": configuration: expected one JSON object",
                               Exit::check_failed);
    try {
        return platform::read_config(*text, [](const char* name) { return getenv(name); });
    } catch (const std::invalid_argument& error) {
        throw std::invalid_argument(path + ": " + error.what());
    }
}

class NodeProgram {
  public:
    explicit NodeProgram(std::string path)
        : config_path_(std::move(path)),
          log_(log::Format::readable, log_level(), ""),
          sighup_(loop_, SIGHUP, [this] { reload(); }),
          sigterm_(loop_, SIGTERM, [this] { stop(); }),
          sigint_(loop_, SIGINT, [this] { stop(); }) {}

    int run() {
        started_at_ = event::Loop::clock();
        loop_.after(0us, [this] { start(); });
        loop_.run();
        if (!node_) return exit_code_;
        node_->log_counts();
        log_.write(log::Level::warning, "stopped", {});
        return exit_code_;
    }

  private:
    // Retries for a limited time after errors that may be temporary: a system error or an
    // incomplete file.
    void start() {
        if (stopping_) return loop_.stop();
        try {
            platform::NodeConfig config = load_config(config_path_);
            for (const RequestClass& request_class : config.settings.classes)
                longest_deadline_ = std::max(longest_deadline_, request_class.deadline);
            node_ = std::make_unique<Node>(loop_, std::move(config), log_);
        } catch (const IncompleteConfig& error) {
            return retry_start(error.what(), max_config_wait, error.exit_code);
        } catch (const std::invalid_argument& error) {
            return fail(error.what(), Exit::check_failed);
        } catch (const event::SystemError& error) {
            return retry_start(error.what(), max_start_time, Exit::system_error);
        } catch (const std::exception& error) {
            return fail(error.what(), Exit::system_error);
        }
        log_.write(log::Level::warning, "ready", node_->limit_fields());
        loop_.after(counts_period, [this] { log_counts_periodically(); });
    }
    void retry_start(const std::string& reason, Micros max_time, int exit_code) {
        if (event::Loop::clock() - started_at_ >= max_time) return fail(reason, exit_code);
        if (reason != start_delay_reason_)
            log_.write(log::Level::warning, "start_delayed", {{"why", reason}});
        start_delay_reason_ = reason;
        loop_.after(start_retry_interval, [this] { start(); });
    }
    void fail(const std::string& reason, int exit_code) {
        std::cerr << reason << "\n";
        exit_code_ = exit_code;
        loop_.stop();
    }
    void log_counts_periodically() {
        node_->log_counts();
        loop_.after(counts_period, [this] { log_counts_periodically(); });
    }

    // The file may be incomplete when the signal arrives, so loading is retried until it succeeds,
    // `max_reload_time` has passed or the next signal arrives. The current configuration stays in
    // use.
    void reload() {
        if (!node_) return;
        reload_deadline_ = loop_.now() + max_reload_time;
        reload_failure_logged_ = false;
        try_reload(++reload_generation_);
    }
    void try_reload(std::uint64_t generation) {
        if (generation != reload_generation_) return;
        try {
            return node_->reload(load_config(config_path_));
        } catch (const std::exception& error) {
            const bool is_last_attempt = loop_.now() >= reload_deadline_;
            if (!std::exchange(reload_failure_logged_, true) || is_last_attempt)
                log_.write(log::Level::error, "configuration_kept",
                           {{"why", std::string(error.what())},
                            {"tried_again", std::int64_t{!is_last_attempt}}});
            if (is_last_attempt) return;
        }
        loop_.after(reload_retry_interval, [this, generation] { try_reload(generation); });
    }

    void stop() {
        stopping_ = true;
        if (!node_) return;  // not ready yet: the next start() stops the loop
        const Micros request_window =
            std::min(longest_deadline_, max_counted_deadline) + kill_grace - kill_margin;
        node_->drain(drain_notice, request_window, [this] { loop_.stop(); });
    }

    const std::string config_path_;
    event::Loop loop_;
    log::Log log_;
    std::unique_ptr<Node> node_;
    Micros longest_deadline_{0}, started_at_{0}, reload_deadline_{0};
    std::string start_delay_reason_;
    std::uint64_t reload_generation_ = 0;
    bool stopping_ = false, reload_failure_logged_ = false;
    int exit_code_ = Exit::success;
    event::Signal sighup_, sigterm_, sigint_;
};
}  // namespace

int run_node() {
    const char* path = getenv("NODE_CONFIG");
    if (!path || !*path) {
        std::cerr << "NODE_CONFIG: expected the path of the configuration file\n";
        return Exit::usage_error;
    }
    signal(SIGPIPE, SIG_IGN);
    // Memory is limited and the process has one thread: use one arena and return freed memory
    // early.
    mallopt(M_ARENA_MAX, 1);
    mallopt(M_TRIM_THRESHOLD, 256 * 1024);
    mallopt(M_MMAP_THRESHOLD, 256 * 1024);
    try {
        return NodeProgram(path).run();
    } catch (const std::exception& error) {
        std::cerr << error.what() << "\n";
        return Exit::system_error;
    }
}

}  // namespace silverreach::cli
