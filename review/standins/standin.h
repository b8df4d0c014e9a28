// Common parts of the stand-ins of the review: blocking sockets on loopback with time limits, the
// record of a run, and RESP2 and HTTP messages.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace standin {
using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;
using Millis = std::chrono::milliseconds;

enum Verdict {
    held = 0,
    broken = 1,
    could_not_run = 2
};

// The record of a run: one line an event, with the milliseconds since the start.
class Record {
  public:
    explicit Record(const std::string& path) : out_(path), started_at_(Clock::now()) {}
    void line(const std::string& text) {
        const std::lock_guard lock(mutex_);
        out_ << elapsed_ms() << " " << text << "\n";
        out_.flush();
    }
    std::int64_t elapsed_ms() const {
        return std::chrono::duration_cast<Millis>(Clock::now() - started_at_).count();
    }

  private:
    std::mutex mutex_;
    std::ofstream out_;
    const Clock::time_point started_at_;
};

inline sockaddr_in loopback(int port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

// One connection. Closed when destroyed.
class Connection {
  public:
    explicit Connection(int fd = -1) : fd_(fd) {
        const int on = 1;
        if (fd_ >= 0) setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;
    ~Connection() { close(); }

    static int connect(int port) {
        const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in address = loopback(port);
        if (fd >= 0 &&
            ::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0)
            return fd;
        if (fd >= 0) ::close(fd);
        return -1;
    }
    bool is_open() const { return fd_ >= 0; }
    void reopen(int port) {
        close();
        buffer_.clear();
        fd_ = connect(port);
    }
    void close() {
        if (fd_ >= 0) ::close(std::exchange(fd_, -1));
    }
    void end_sending() const { ::shutdown(fd_, SHUT_WR); }
    bool write(std::string_view bytes) const {
        while (!bytes.empty()) {
            const ssize_t count = ::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (count <= 0) return false;
            bytes.remove_prefix(static_cast<std::size_t>(count));
        }
        return true;
    }
    // Reads until the buffer has `size` bytes. Returns false at the end of the connection and when
    // the time is over.
    bool fill(std::size_t size, Clock::time_point until) {
        while (buffer_.size() < size)
            if (!read_some(until)) return false;
        return true;
    }
    std::optional<std::string> read_line(Clock::time_point until) {
        std::size_t end = 0;
        while ((end = buffer_.find("\r\n")) == std::string::npos)
            if (!read_some(until)) return std::nullopt;
        std::string line = buffer_.substr(0, end);
        buffer_.erase(0, end + 2);
        return line;
    }
    std::optional<std::string> read_bytes(std::size_t size, Clock::time_point until) {
        if (!fill(size, until)) return std::nullopt;
        std::string bytes = buffer_.substr(0, size);
        buffer_.erase(0, size);
        return bytes;
    }
    // Whether the peer has ended the connection, as far as the last read has shown.
    bool ended() const { return ended_; }

  private:
    bool read_some(Clock::time_point until) {
        const auto left = std::chrono::duration_cast<Millis>(until - Clock::now()).count();
        pollfd readable{fd_, POLLIN, 0};
        if (left <= 0 || ::poll(&readable, 1, static_cast<int>(left)) <= 0) return false;
        char bytes[65536];
        const ssize_t count = ::recv(fd_, bytes, sizeof bytes, 0);
        if (count <= 0) return ended_ = true, false;
        buffer_.append(bytes, static_cast<std::size_t>(count));
        return true;
    }

    int fd_;
    bool ended_ = false;
    std::string buffer_;
};

inline const Clock::time_point no_limit = Clock::now() + 10min;

// Accepts connections on a free port and serves each on a thread of its own, until the process
// ends.
class Server {
  public:
    explicit Server(std::function<void(Connection&)> serve) : serve_(std::move(serve)) {
        fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address = loopback(0);
        socklen_t size = sizeof address;
        if (fd_ < 0 || ::bind(fd_, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
            ::listen(fd_, 512) != 0)
            std::exit(could_not_run);
        getsockname(fd_, reinterpret_cast<sockaddr*>(&address), &size);
        port_ = ntohs(address.sin_port);
        std::thread([this] { accept_all(); }).detach();
    }
    int port() const { return port_; }

  private:
    void accept_all() {
        while (true) {
            const int fd = ::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) continue;
            std::thread([this, fd] {
                Connection connection(fd);
                serve_(connection);
            }).detach();
        }
    }

    int fd_ = -1, port_ = 0;
    std::function<void(Connection&)> serve_;
};

// A port on which nothing listens now.
inline int free_port() {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = loopback(0);
    socklen_t size = sizeof address;
    if (::bind(fd, reinterpret_cast<sockaddr*>(&address), size) != 0) std::exit(could_not_run);
    getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
    ::close(fd);
    return ntohs(address.sin_port);
}

inline bool wait_until(const std::function<bool()>& condition, Millis limit) {
    for (const auto until = Clock::now() + limit; Clock::now() < until;) {
        if (condition()) return true;
        std::this_thread::sleep_for(20ms);
    }
    return condition();
}

// Whether the disruption is part of the run.
inline bool has_trouble() {
    const char* value = std::getenv("TROUBLE");
    return !value || std::string_view(value) != "0";
}

inline std::string hex(std::uint64_t value) {
    char text[17];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(value));
    return text;
}

inline void write_file(const std::string& path, const std::string& text) {
    const std::string partial = path + ".part";
    std::ofstream(partial) << text;
    std::rename(partial.c_str(), path.c_str());
}

// ---- RESP2 ----

inline std::string bulk(std::string_view value) {
    return "$" + std::to_string(value.size()) + "\r\n" + std::string(value) + "\r\n";
}
inline std::string command(const std::vector<std::string>& words) {
    std::string text = "*" + std::to_string(words.size()) + "\r\n";
    for (const std::string& word : words)
        text += bulk(word);
    return text;
}
inline std::optional<std::string> read_bulk(Connection& connection, const std::string& header,
                                            Clock::time_point until) {
    if (header.empty() || header[0] != '$' || header[1] == '-') return std::nullopt;
    const auto size = static_cast<std::size_t>(std::atoll(header.c_str() + 1));
    auto value = connection.read_bytes(size + 2, until);
    if (value) value->resize(size);
    return value;
}
inline std::optional<std::vector<std::string>> read_command(Connection& connection) {
    const auto header = connection.read_line(no_limit);
    if (!header || header->size() < 2 || (*header)[0] != '*') return std::nullopt;
    std::vector<std::string> words;
    for (int left = std::atoi(header->c_str() + 1); left > 0; --left) {
        const auto length = connection.read_line(no_limit);
        auto word = length ? read_bulk(connection, *length, no_limit) : std::nullopt;
        if (!word) return std::nullopt;
        words.push_back(std::move(*word));
    }
    return words;
}
// Whether an instance answers PING with +PONG on that port.
inline bool answers_ping(int port) {
    Connection connection(Connection::connect(port));
    if (!connection.is_open() || !connection.write(command({"PING"}))) return false;
    return connection.read_line(Clock::now() + 500ms) == "+PONG";
}

// Sends the list of hosts to every watch, and an empty line every 2 s while nothing changes.
inline void serve_list(Connection& connection, const std::string& list) {
    while (true) {
        const auto line = connection.read_line(no_limit);
        if (!line) return;
        if (line->empty()) break;
    }
    const auto chunk = [](const std::string& text) {
        char size[24];
        std::snprintf(size, sizeof size, "%zx\r\n", text.size());
        return size + text + "\r\n";
    };
    connection.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(list + "\n"));
    do
        std::this_thread::sleep_for(2s);
    while (connection.write(chunk("\n")));
}

}  // namespace standin
