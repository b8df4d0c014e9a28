// Stand-ins for the cases of the second review: an event loop over poll(), loopback connections,
// RESP2 messages, hosts, the endpoint list service, a relay that can fall silent, the gateway as a
// child process, and the record of a run. Every address is a loopback address; ports are chosen by
// the system. Single-threaded; used by one case program each.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <ctime>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <sstream>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace standins {

constexpr int rule_held = 0, rule_broken = 1, could_not_run = 2;

[[noreturn]] inline void give_up(const std::string& why) {
    std::fprintf(stderr, "the case could not run: %s\n", why.c_str());
    std::exit(could_not_run);
}

inline double clock_ms() {
    timespec time{};
    clock_gettime(CLOCK_MONOTONIC, &time);
    return static_cast<double>(time.tv_sec) * 1e3 + static_cast<double>(time.tv_nsec) / 1e6;
}

inline std::string format(const char* text, ...) {
    char buffer[4096];
    va_list arguments;
    va_start(arguments, text);
    std::vsnprintf(buffer, sizeof buffer, text, arguments);
    va_end(arguments);
    return buffer;
}

// What was sent, answered and run, one line each with the time since the start in milliseconds.
class Record {
  public:
    explicit Record(const std::string& path) : file_(path), started_(clock_ms()) {
        if (!file_) give_up("cannot write " + path);
    }
    double now() const { return clock_ms() - started_; }
    void line(const std::string& text) { file_ << format("%9.1f ", now()) << text << std::endl; }

  private:
    std::ofstream file_;
    double started_;
};

// ---- event loop ----

struct Watched {
    virtual ~Watched() = default;
    virtual int fd() const = 0;  // negative: closed, is forgotten
    virtual short interest() const = 0;
    virtual void on_ready(short events) = 0;
};

class Loop {
  public:
    void add(std::shared_ptr<Watched> watched) { watched_.push_back(std::move(watched)); }
    void after(double ms, std::function<void()> callback) {
        timers_.emplace(clock_ms() + ms, std::move(callback));
    }
    // Runs until `done` returns true, or `ms` have passed; returns whether `done` did.
    bool run(
        double ms, const std::function<bool()>& done = [] { return false; }) {
        const double end = clock_ms() + ms;
        while (!done()) {
            if (clock_ms() >= end) return false;
            turn(end);
        }
        return true;
    }

  private:
    void turn(double end) {
        std::erase_if(watched_, [](const auto& watched) { return watched->fd() < 0; });
        std::vector<pollfd> polled;
        std::vector<std::shared_ptr<Watched>> owners;
        for (const auto& watched : watched_) {
            polled.push_back({watched->fd(), watched->interest(), 0});
            owners.push_back(watched);
        }
        double until = end;
        if (!timers_.empty()) until = std::min(until, timers_.begin()->first);
        const double wait = std::max(0.0, until - clock_ms());
        timespec timeout{
            static_cast<time_t>(wait / 1e3),
            static_cast<long>((wait - 1e3 * static_cast<double>(static_cast<time_t>(wait / 1e3))) *
                              1e6)};
        if (::ppoll(polled.data(), polled.size(), &timeout, nullptr) > 0)
            for (std::size_t i = 0; i < polled.size(); ++i)
                if (polled[i].revents && owners[i]->fd() == polled[i].fd)
                    owners[i]->on_ready(polled[i].revents);
        while (!timers_.empty() && timers_.begin()->first <= clock_ms()) {
            const auto callback = std::move(timers_.begin()->second);
            timers_.erase(timers_.begin());
            callback();
        }
    }

    std::vector<std::shared_ptr<Watched>> watched_;
    std::multimap<double, std::function<void()>> timers_;
};

// ---- connections ----

class Connection : public Watched, public std::enable_shared_from_this<Connection> {
  public:
    std::string input;                    // received and not consumed
    std::function<void()> on_input;       // more input, may consume it
    std::function<void(bool)> on_closed;  // by the peer; true: with a reset
    bool reading = true;

    explicit Connection(int fd) : fd_(fd) {
        const int on = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }
    ~Connection() override { close(); }
    int fd() const override { return fd_; }
    short interest() const override {
        return static_cast<short>((reading ? POLLIN : 0) | (output_.empty() ? 0 : POLLOUT));
    }
    void on_ready(short events) override {
        const auto self = shared_from_this();
        if (events & POLLOUT) flush();
        if (fd_ >= 0 && reading && (events & (POLLIN | POLLHUP | POLLERR))) receive();
    }
    void write(std::string_view bytes) {
        if (fd_ < 0) return;
        output_.append(bytes);
        flush();
    }
    bool all_written() const { return output_.empty(); }
    bool is_open() const { return fd_ >= 0; }
    void close() {
        if (fd_ >= 0) ::close(fd_);
        fd_ = -1;
    }
    void reset() {
        if (fd_ < 0) return;
        const linger abortive{1, 0};
        setsockopt(fd_, SOL_SOCKET, SO_LINGER, &abortive, sizeof abortive);
        close();
    }

  private:
    void flush() {
        while (!output_.empty()) {
            const ssize_t count = ::send(fd_, output_.data(), output_.size(), MSG_NOSIGNAL);
            if (count <= 0) return;
            output_.erase(0, static_cast<std::size_t>(count));
        }
    }
    void receive() {
        char buffer[65536];
        const ssize_t count = ::recv(fd_, buffer, sizeof buffer, 0);
        if (count < 0 && (errno == EAGAIN || errno == EINTR)) return;
        if (count > 0) {
            input.append(buffer, static_cast<std::size_t>(count));
            if (on_input) on_input();
            return;
        }
        close();
        if (on_closed) on_closed(count < 0);
    }

    int fd_;
    std::string output_;
};
using ConnectionPtr = std::shared_ptr<Connection>;

inline sockaddr_in loopback_address(int port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

// Connects to a port of this machine. `receive_buffer`, `segment`: of the socket, in bytes; 0: the
// system's.
inline ConnectionPtr connect_to(Loop& loop, int port, int receive_buffer = 0, int segment = 0) {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (receive_buffer > 0)
        setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
    if (segment > 0) setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof segment);
    const sockaddr_in address = loopback_address(port);
    if (::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
        ::close(fd);
        return nullptr;
    }
    fcntl(fd, F_SETFL, O_NONBLOCK);
    auto connection = std::make_shared<Connection>(fd);
    loop.add(connection);
    return connection;
}

class Listener : public Watched {
  public:
    std::function<void(ConnectionPtr)> on_accepted;

    static std::shared_ptr<Listener> open(Loop& loop,
                                          std::function<void(ConnectionPtr)> on_accepted) {
        auto listener = std::make_shared<Listener>(loop);
        listener->on_accepted = std::move(on_accepted);
        loop.add(listener);
        return listener;
    }
    explicit Listener(Loop& loop)
        : loop_(loop), fd_(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)) {
        sockaddr_in address = loopback_address(0);
        socklen_t size = sizeof address;
        auto* generic = reinterpret_cast<sockaddr*>(&address);
        if (::bind(fd_, generic, size) != 0 || ::listen(fd_, 1024) != 0 ||
            ::getsockname(fd_, generic, &size) != 0)
            give_up("no port is free");
        port_ = ntohs(address.sin_port);
    }
    ~Listener() override { ::close(fd_); }
    int fd() const override { return fd_; }
    short interest() const override { return POLLIN; }
    void on_ready(short) override {
        const int fd = ::accept4(fd_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (fd < 0) return;
        auto connection = std::make_shared<Connection>(fd);
        loop_.add(connection);
        on_accepted(connection);
    }
    int port() const { return port_; }
    std::string address() const { return format("127.0.0.1:%d", port_); }

  private:
    Loop& loop_;
    int fd_;
    int port_ = 0;
};

// ---- RESP2 ----

using Words = std::vector<std::string>;

inline std::string bulk(std::string_view text) {
    return format("$%zu\r\n", text.size()).append(text).append("\r\n");
}
inline std::string command(const Words& words) {
    std::string bytes = format("*%zu\r\n", words.size());
    for (const std::string& word : words)
        bytes += bulk(word);
    return bytes;
}
// Removes one command, an array of bulk strings, from the front of `input`; nothing: it is not
// complete.
inline std::optional<Words> take_command(std::string& input) {
    std::size_t position = 0;
    const auto number_after = [&](char type) -> long {
        const std::size_t end = input.find("\r\n", position);
        if (end == std::string::npos || input[position] != type) return -1;
        const long number = std::strtol(input.c_str() + position + 1, nullptr, 10);
        position = end + 2;
        return number;
    };
    if (input.empty()) return std::nullopt;
    const long count = number_after('*');
    if (count < 0) return std::nullopt;
    Words words;
    for (long i = 0; i < count; ++i) {
        if (position >= input.size()) return std::nullopt;
        const long size = number_after('$');
        if (size < 0 || input.size() < position + static_cast<std::size_t>(size) + 2)
            return std::nullopt;
        words.push_back(input.substr(position, static_cast<std::size_t>(size)));
        position += static_cast<std::size_t>(size) + 2;
    }
    input.erase(0, position);
    return words;
}
// Removes one reply, a line or a bulk string, from the front of `input`. The reply is returned as
// its type and its text: "+PONG", "-BUSY 20", "$value". Nothing: it is not complete.
inline std::optional<std::string> take_reply(std::string& input) {
    const std::size_t end = input.find("\r\n");
    if (end == std::string::npos) return std::nullopt;
    std::string reply = input.substr(0, end);
    std::size_t size = end + 2;
    if (reply.front() == '$') {
        const long bytes = std::strtol(reply.c_str() + 1, nullptr, 10);
        if (bytes >= 0) {
            if (input.size() < size + static_cast<std::size_t>(bytes) + 2) return std::nullopt;
            reply = "$" + input.substr(size, static_cast<std::size_t>(bytes));
            size += static_cast<std::size_t>(bytes) + 2;
        }
    }
    input.erase(0, size);
    return reply;
}
inline std::string hex(std::uint64_t number) {
    return format("%016llx", static_cast<unsigned long long>(number));
}
// The value of a name in a request's list of names and values; empty where it is absent.
inline std::string value_of(const std::string& list, const std::string& name) {
    std::istringstream pairs(list);
    for (std::string pair; std::getline(pairs, pair, ',');)
        if (pair.starts_with(name + "=")) return pair.substr(name.size() + 1);
    return "";
}
// A host's answer that serves the request.
inline std::string served(std::string_view value) {
    return "*3\r\n" + bulk(value) + "$-1\r\n$-1\r\n";
}

// ---- hosts ----

// A host of the platform. `on_command` gets each request of SVC.QUERY and SVC.SUBMIT with its last
// byte; health checks and connection set-up are answered here.
class Host {
  public:
    std::function<void(const ConnectionPtr&, const Words&)> on_command;

    explicit Host(Loop& loop)
        : listener_(Listener::open(loop, [this](const ConnectionPtr& connection) {
              connection->on_input = [this, weak = std::weak_ptr<Connection>(connection)] {
                  if (const auto open = weak.lock()) read(open);
              };
          })) {}
    Host(const Host&) = delete;
    Host& operator=(const Host&) = delete;
    int port() const { return listener_->port(); }

  private:
    void read(const ConnectionPtr& connection) {
        while (connection->is_open()) {
            const auto words = take_command(connection->input);
            if (!words) return;
            if (words->front() == "PING")
                connection->write("+PONG\r\n");
            else if (words->front() == "INFO")
                connection->write("-NOPERM\r\n");
            else
                on_command(connection, *words);
        }
    }
    std::shared_ptr<Listener> listener_;
};

struct Target {
    std::string uid;
    int port = 0;
    int pod = 1;
    std::string state = "ready";
    std::string zone = "a";
    std::string json() const {
        return format(
            R"({"uid":"%s","endpoint":"127.0.0.1:%d","az":"%s","model":"m","pod_group":%d,"state":"%s",)"
            R"("capacity_hint":1.0,"boot_ms":0})",
            uid.c_str(), port, zone.c_str(), pod, state.c_str());
    }
};
inline std::string list_json(int revision, bool whole, const std::vector<Target>& targets) {
    std::string json =
        format(R"({"rev":%d,"all":%s,"targets":[)", revision, whole ? "true" : "false");
    for (std::size_t i = 0; i < targets.size(); ++i)
        json += (i > 0 ? "," : "") + targets[i].json();
    return json + "]}";
}

// The agent of discovery. A watch gets the whole list first, then each change, and an empty line
// every 2 s.
class Discovery {
  public:
    int revision = 1;
    std::vector<Target> targets;

    explicit Discovery(Loop& loop)
        : loop_(loop), listener_(Listener::open(loop, [this](const ConnectionPtr& connection) {
              connection->on_input = [this, weak = std::weak_ptr<Connection>(connection)] {
                  if (const auto open = weak.lock()) read(open);
              };
          })) {
        keep_alive();
    }
    Discovery(const Discovery&) = delete;
    Discovery& operator=(const Discovery&) = delete;
    std::string address() const { return listener_->address(); }
    std::size_t calls() const { return calls_; }
    void change(const Target& target) {
        set(target);
        for (const auto& watch : watches_)
            if (watch->is_open()) chunk(watch, list_json(revision, false, {target}));
    }
    // The same, but all open watches end instead of telling.
    void change_and_end_watches(const Target& target) {
        set(target);
        for (const auto& watch : watches_) {
            watch->write("0\r\n\r\n");
            watch->close();
        }
        watches_.clear();
    }

  private:
    void set(const Target& target) {
        ++revision;
        std::erase_if(targets, [&](const Target& known) { return known.uid == target.uid; });
        if (target.state != "gone") targets.push_back(target);
    }
    void read(const ConnectionPtr& connection) {
        const std::size_t end = connection->input.find("\r\n\r\n");
        if (end == std::string::npos) return;
        ++calls_;
        connection->input.erase(0, end + 4);
        connection->write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        chunk(connection, list_json(revision, true, targets));
        watches_.push_back(connection);
    }
    static void chunk(const ConnectionPtr& watch, const std::string& line) {
        watch->write(format("%zx\r\n", line.size() + 1) + line + "\n\r\n");
    }
    void keep_alive() {
        loop_.after(2000, [this] {
            std::erase_if(watches_, [](const auto& watch) { return !watch->is_open(); });
            for (const auto& watch : watches_)
                chunk(watch, "");
            keep_alive();
        });
    }

    Loop& loop_;
    std::shared_ptr<Listener> listener_;
    std::vector<ConnectionPtr> watches_;
    std::size_t calls_ = 0;
};

// ---- relay ----

// Relays connections to a port, each way with `delay_ms`. While it is silent, it passes nothing on
// and reads nothing: the connections stay open and say nothing, as where a machine is cut off.
class Relay {
  public:
    // `receive_buffer`, `segment`: see connect_to().
    Relay(Loop& loop, double delay_ms, int receive_buffer = 0, int segment = 0)
        : loop_(loop),
          delay_ms_(delay_ms),
          receive_buffer_(receive_buffer),
          segment_(segment),
          listener_(Listener::open(loop, [this](const ConnectionPtr& near) { accept(near); })) {}
    Relay(const Relay&) = delete;
    Relay& operator=(const Relay&) = delete;
    int port() const { return listener_->port(); }
    void set_target(int port) { target_ = port; }
    // Whether all that came so far has been written to the target's connections.
    bool all_passed_on() const {
        return std::all_of(far_sides_.begin(), far_sides_.end(), [](const auto& weak) {
            const auto side = weak.lock();
            return !side || side->all_written();
        });
    }
    void set_silent(bool silent) {
        for (const auto& weak : sides_)
            if (const auto side = weak.lock()) side->reading = !silent;
    }

  private:
    void accept(const ConnectionPtr& near) {
        const ConnectionPtr far = connect_to(loop_, target_, receive_buffer_, segment_);
        if (!far) return near->reset();
        far_sides_.emplace_back(far);
        pass(near, far);
        pass(far, near);
    }
    void pass(const ConnectionPtr& from, const ConnectionPtr& to) {
        sides_.emplace_back(from);
        from->on_input = [this, to, source = from.get()] {
            deliver(to, std::exchange(source->input, {}));
        };
        from->on_closed = [this, to](bool with_reset) {
            loop_.after(delay_ms_, [to, with_reset] { with_reset ? to->reset() : to->close(); });
        };
    }
    void deliver(const ConnectionPtr& to, const std::string& bytes) {
        if (delay_ms_ <= 0) return to->write(bytes);
        loop_.after(delay_ms_, [to, bytes] { to->write(bytes); });
    }

    Loop& loop_;
    double delay_ms_;
    int receive_buffer_;
    int segment_;
    std::shared_ptr<Listener> listener_;
    int target_ = 0;
    std::vector<std::weak_ptr<Connection>> sides_, far_sides_;
};

// ---- the gateway ----

inline std::string read_file(const std::string& path) {
    std::ifstream file(path, std::ios::binary);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}
inline void write_file(const std::string& path, const std::string& text) {
    std::ofstream(path, std::ios::binary) << text;
}

struct SettingsText {
    std::string classes;
    std::string plans;
    std::string locality = "a";
    std::string zones = R"("a")";
    int instances = 1;
    int rank = 0;
    int memory_mb = 64;
    int sockets = 512;
    int drain_grace_ms = 1000;
    int conn_idle_ms = 15000;
    int units_top = 1;
    int max_attempts = 4;
    std::string seed = "8c1f30d27a5be964";
    std::string peer_listen;
    std::vector<std::string> peers;
};
// The configuration of a node, in the form of the deployment page.
inline std::string node_config(const SettingsText& settings, const std::string& discovery,
                               const std::string& known) {
    std::string peers;
    for (const std::string& peer : settings.peers)
        peers += (peers.empty() ? "\"" : ",\"") + peer + "\"";
    const std::string peer_part =
        settings.peer_listen.empty()
            ? ""
            : R"("peer_listen":")" + settings.peer_listen + R"(","peers":[)" + peers + "],";
    return R"({"name":"n0","listen":"127.0.0.1:0","discovery":")" + discovery + R"(","seed":")" +
           settings.seed +
           format(R"(","limits":{"cores":1.0,"memory_mb":%d,"sockets":%d},)", settings.memory_mb,
                  settings.sockets) +
           peer_part + R"("known":)" + known +
           format(R"(,"settings":{"rank":%d,"instances":%d,)", settings.rank, settings.instances) +
           R"("locality":")" + settings.locality + R"(","failureDomains":[)" + settings.zones +
           R"(],)" + R"("kinds":["m"],"tickUs":2000,)" + R"("requestClasses":[)" +
           settings.classes + R"(],"tiersOfService":[)" + settings.plans +
           format(R"(],"ceilings":{"cancel":true,"connIdleUs":%d000,"connectTimeoutUs":250000,)",
                  settings.conn_idle_ms) +
           format(R"("maxAttempts":%d,"maxRetryAfterUs":2000000,"mayDuplicate":false,)",
                  settings.max_attempts) +
           format(R"("peers":%s,"probes":false,"retryAfter":true},)",
                  settings.peers.empty() ? "false" : "true") +
           format(R"("familyInfo":{"unitsTop":%d,"mailPerS":100},)", settings.units_top) +
           R"("reporting":{"how":"off","names":[]},"clients":{"marksRetry":false},)" +
           format(R"("guarantees":{"answerSlackUs":16000,"stopSendingWithinUs":%d000,)",
                  settings.drain_grace_ms) +
           R"("coldUs":17000000,"fallUs":2000000,"overloadFactor":3,"startCapacity":0.18}}})";
}

// A gateway as a child process, started as the deploy file says; it ends with this process at the
// latest.
class Gateway {
  public:
    // `command_line` as the deploy file has it. The log goes to `log_path`.
    Gateway(const std::string& command_line, const std::vector<std::string>& environment,
            std::string log_path)
        : log_path_(std::move(log_path)) {
        ::unlink(log_path_.c_str());
        pid_ = ::fork();
        if (pid_ < 0) give_up("fork");
        if (pid_ > 0) return;
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int log = ::open(log_path_.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0600);
        ::dup2(log, 1);
        ::dup2(log, 2);
        for (const std::string& entry : environment)
            ::putenv(const_cast<char*>(entry.c_str()));
        ::execl("/bin/sh", "sh", "-c", command_line.c_str(), nullptr);
        ::_exit(127);
    }
    ~Gateway() {
        if (pid_ <= 0) return;
        ::kill(pid_, SIGKILL);
        ::waitpid(pid_, nullptr, 0);
    }
    Gateway(const Gateway&) = delete;
    Gateway& operator=(const Gateway&) = delete;

    int pid() const { return pid_; }
    void signal(int number) const { ::kill(pid_, number); }
    // The port on which it listens, read from its log after `mark`.
    int wait_for_port(Loop& loop, const std::string& line, const std::string& mark) const {
        int port = 0;
        for (int i = 0; i < 500 && port <= 0 && !has_ended(); ++i) {
            loop.run(20);
            const std::string log = read_file(log_path_);
            const std::size_t at = log.find(line);
            const std::size_t number = at == std::string::npos ? at : log.find(mark, at);
            if (number != std::string::npos && log.find('\n', number) != std::string::npos)
                port = std::atoi(log.c_str() + number + mark.size());
        }
        if (port <= 0) give_up("the gateway did not start: " + read_file(log_path_));
        return port;
    }
    bool has_ended() const {
        siginfo_t info{};
        return ::waitid(P_PID, static_cast<id_t>(pid_), &info, WEXITED | WNOHANG | WNOWAIT) == 0 &&
               info.si_pid != 0;
    }
    // A value of /proc/PID/status in KiB.
    long status_kib(const std::string& name) const {
        std::ifstream status(format("/proc/%d/status", pid_));
        for (std::string line; std::getline(status, line);)
            if (line.starts_with(name + ":"))
                return std::strtol(line.c_str() + name.size() + 1, nullptr, 10);
        return -1;
    }

  private:
    std::string log_path_;
    int pid_ = 0;
};

// ---- a case ----

struct CaseOptions {
    std::string program;  // the gateway's program
    std::string folder;   // temporary
    std::string record;   // path of the record
    bool trouble = true;
};
inline CaseOptions case_options(int count, char** arguments) {
    if (count != 4) give_up("usage: CASE PROGRAM FOLDER RECORD");
    const char* trouble = std::getenv("TROUBLE");
    return {arguments[1], arguments[2], arguments[3], !trouble || std::string_view(trouble) != "0"};
}

}  // namespace standins
