// Runs `silverreach node` as a separate process with the fault injection library preloaded and its
// log in a pipe or a file.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <fstream>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <vector>

#include "event/fd.h"
#include "event/loop.h"
#include "tests/support/fault_injection.h"

namespace test_support {
using namespace silverreach;

// A loopback address derived from the process id, so that the ports of test processes that run at
// the same time do not conflict.
inline const std::string& own_address() {
    static const std::string address = "127." + std::to_string(1 + ::getpid() / 250 % 250) + "." +
                                       std::to_string(1 + ::getpid() % 250) + ".1";
    return address;
}
inline int ephemeral_port() {
    const event::Fd fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    ::inet_pton(AF_INET, own_address().c_str(), &address.sin_addr);
    socklen_t size = sizeof address;
    if (::bind(fd.get(), reinterpret_cast<sockaddr*>(&address), size) != 0) return 0;
    ::getsockname(fd.get(), reinterpret_cast<sockaddr*>(&address), &size);
    return ntohs(address.sin_port);
}
// Returns a port of own_address() that is not in use and that was not returned before, as the
// kernel may offer a closed port again.
inline int free_port() {
    static std::set<int> returned_ports;
    const int port = ephemeral_port();
    return returned_ports.insert(port).second ? port : free_port();
}

inline std::string replace_once(std::string text, const std::string& pattern,
                                const std::string& replacement) {
    const std::size_t position = text.find(pattern);
    if (position == std::string::npos)
        throw std::runtime_error("pattern not found in the text: " + pattern);
    return text.replace(position, pattern.size(), replacement);
}

class NodeProcess {
  public:
    // `config` is a configuration in the platform's format that listens on 127.0.0.1:0; this
    // address is replaced by own_address() and `port`.
    explicit NodeProcess(const std::string& config, int port = free_port()) : port_(port) {
        std::string directory = "/tmp/silverreach-node-XXXXXX";
        if (!::mkdtemp(directory.data()))
            throw std::runtime_error(directory + ": cannot create the directory");
        directory_ = directory;
        configure(config);
    }
    ~NodeProcess() {
        if (pid_ > 0) signal(SIGKILL), wait_for_exit();
        for (const char* name : {"/config.json", "/log"})
            ::unlink((directory_ + name).c_str());
        ::rmdir(directory_.c_str());
    }
    NodeProcess(const NodeProcess&) = delete;
    NodeProcess& operator=(const NodeProcess&) = delete;

    void configure(const std::string& config) const {
        write_file(
            replace_once(config, "127.0.0.1:0", own_address() + ":" + std::to_string(port_)));
    }
    void write_file(const std::string& text) const {
        std::ofstream(config_file(), std::ios::trunc) << text;
    }
    std::string config_file() const { return directory_ + "/config.json"; }
    std::string log_file() const { return directory_ + "/log"; }
    // Starts the process; its log is written to `error_fd`, or to log_file() if that is negative.
    void start(int error_fd = -1) {
        const event::Fd log(
            ::open(log_file().c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600));
        pid_ = ::fork();
        if (pid_ != 0) return;
        ::dup2(error_fd >= 0 ? error_fd : log.get(), 2);
        ::setenv("NODE_CONFIG", config_file().c_str(), 1);
        ::setenv(faults::table_variable, faults.file().c_str(), 1);
        ::setenv("LD_PRELOAD", SILVERREACH_FAULT_LIBRARY, 1);
        ::setenv("ASAN_OPTIONS", "verify_asan_link_order=0", 1);
        // SILVERREACH_TESTED names another build of the program to test.
        const char* tested_program = ::getenv("SILVERREACH_TESTED");
        ::execl(tested_program ? tested_program : SILVERREACH_PROGRAM, "silverreach", "node",
                nullptr);
        ::_exit(127);
    }
    void signal(int signal_number) const {
        if (pid_ > 0) ::kill(pid_, signal_number);
    }
    // Returns the wait status if the process has ended, else nothing. Does not block.
    std::optional<int> exit_status() {
        if (pid_ > 0 && ::waitpid(pid_, &status_, WNOHANG) == pid_) pid_ = 0;
        return pid_ == 0 ? std::optional(status_) : std::nullopt;
    }
    int wait_for_exit() {
        if (pid_ > 0) ::waitpid(pid_, &status_, 0), pid_ = 0;
        return status_;
    }
    std::string log() const {
        std::ifstream file(log_file());
        std::ostringstream text;
        text << file.rdbuf();
        return text.str();
    }
    int port() const { return port_; }
    pid_t pid() const { return pid_; }

    faults::SharedFaultTable faults;

  private:
    int port_;
    std::string directory_;
    pid_t pid_ = -1;
    int status_ = 0;
};

}  // namespace test_support
