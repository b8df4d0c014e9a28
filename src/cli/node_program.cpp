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
constexpr Micros notice = 500ms;  // time for clients to learn that this instance stops
// The platform sends SIGKILL this long after SIGTERM, plus the longest request deadline, of which
// it counts no more than `deadline_counted`.
constexpr Micros killed_after = 700ms, deadline_counted = 3s;
constexpr Micros kill_margin = 100ms;     // time before SIGKILL for sending the last responses
constexpr Micros start_config_most = 3s;  // retry time for an unreadable or incomplete file
constexpr Micros reload_again = 100ms;    // between attempts to load a new configuration
constexpr Micros reload_most = 10s;

// SILVERREACH_LOG=debug logs every request, attempt and closed connection.
log::Level log_level() {
    const char* level = getenv("SILVERREACH_LOG");
    return level && std::string_view(level) == "debug" ? log::Level::debug : log::Level::info;
}

// The file cannot be read or is not one JSON object. It may be in the middle of being written.
struct ConfigNotWhole : std::runtime_error {
    ConfigNotWhole(const std::string& why, int code) : std::runtime_error(why), exit_code(code) {}
    int exit_code;
};
platform::NodeConfig load(const std::string& path) {
    const auto text = read_file(path);
    if (!text) throw ConfigNotWhole(path + ": cannot be read", Exit::system_refused);
    if (!platform::is_object(*text))
        throw ConfigNotWhole(path + ": configuration: expected one JSON object", Exit::bad_answer);
    try {
        return platform::read_config(*text, [](const char* name) { return getenv(name); });
    } catch (const std::invalid_argument& error) {
        throw std::invalid_argument(path + ": " + error.what());
    }
}

class NodeProgram {
  public:
    explicit NodeProgram(std::string path)
        : path_(std::move(path)),
          log_(log::Format::readable, log_level(), ""),
          hup_(loop_, SIGHUP, [this] { reload(); }),
          term_(loop_, SIGTERM, [this] { stop(); }),
          interrupt_(loop_, SIGINT, [this] { stop(); }) {}

    int run() {
        start_began_ = event::Loop::clock();
        loop_.after(0us, [this] { start(); });
        loop_.run();
        if (!node_) return exit_code_;
        node_->log_counts();
        log_.write(log::Level::warning, "stopped", {});
        return exit_code_;
    }

  private:
    // Retries for a limited time after errors that may pass: of the system or an incomplete file.
    void start() {
        if (stopping_) return loop_.stop();
        try {
            platform::NodeConfig config = load(path_);
            for (const RequestClass& c : config.settings.classes)
                longest_ = std::max(longest_, c.deadline);
            node_ = std::make_unique<Node>(loop_, std::move(config), log_);
        } catch (const ConfigNotWhole& error) {
            return start_later(error.what(), start_config_most, error.exit_code);
        } catch (const std::invalid_argument& error) {
            return give_up(error.what(), Exit::bad_answer);
        } catch (const event::SystemError& error) {
            return start_later(error.what(), start_most, Exit::system_refused);
        } catch (const std::exception& error) {
            return give_up(error.what(), Exit::system_refused);
        }
        log_.write(log::Level::warning, "ready", node_->limits());
        loop_.after(counts_period, [this] { count(); });
    }
    void start_later(const std::string& why, Micros most, int code) {
        if (event::Loop::clock() - start_began_ >= most) return give_up(why, code);
        if (why != start_delayed_by_)
            log_.write(log::Level::warning, "start_delayed", {{"why", why}});
        start_delayed_by_ = why;
        loop_.after(start_again, [this] { start(); });
    }
    void give_up(const std::string& why, int code) {
        std::cerr << why << "\n";
        exit_code_ = code;
        loop_.stop();
    }
    void count() {
        node_->log_counts();
        loop_.after(counts_period, [this] { count(); });
    }

    // The file may be incomplete when the signal arrives, so loading is retried until it succeeds,
    // `reload_most` has passed or the next signal arrives. The current configuration stays in use.
    void reload() {
        if (!node_) return;
        reload_until_ = loop_.now() + reload_most;
        reload_told_ = false;
        try_reload(++reload_turn_);
    }
    void try_reload(std::uint64_t turn) {
        if (turn != reload_turn_) return;
        try {
            return node_->reload(load(path_));
        } catch (const std::exception& error) {
            const bool last = loop_.now() >= reload_until_;
            if (!std::exchange(reload_told_, true) || last)
                log_.write(
                    log::Level::error, "configuration_kept",
                    {{"why", std::string(error.what())}, {"tried_again", std::int64_t{!last}}});
            if (last) return;
        }
        loop_.after(reload_again, [this, turn] { try_reload(turn); });
    }

    void stop() {
        stopping_ = true;
        if (!node_) return;  // not ready yet: the next start() stops the loop
        const Micros most = std::min(longest_, deadline_counted) + killed_after - kill_margin;
        node_->drain(notice, most, [this] { loop_.stop(); });
    }

    const std::string path_;
    event::Loop loop_;
    log::Log log_;
    std::unique_ptr<Node> node_;
    Micros longest_{0}, start_began_{0}, reload_until_{0};
    std::string start_delayed_by_;
    std::uint64_t reload_turn_ = 0;
    bool stopping_ = false, reload_told_ = false;
    int exit_code_ = Exit::done;
    event::Signal hup_, term_, interrupt_;
};
}  // namespace

int run_node() {
    const char* path = getenv("NODE_CONFIG");
    if (!path || !*path) {
        std::cerr << "NODE_CONFIG: expected the name of the configuration file\n";
        return Exit::bad_usage;
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
        return Exit::system_refused;
    }
}

}  // namespace silverreach::cli
