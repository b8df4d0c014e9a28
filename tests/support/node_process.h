// `silverreach node` as a process of its own, with fault injection preloaded and its log in a pipe
// or a file.
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
#include "tests/support/faults.h"

namespace test_support {
using namespace silverreach;

// A loopback address of this test process alone: ports chosen here meet those of no other.
inline const std::string& own_address() {
    static const std::string address = "127." + std::to_string(1 + ::getpid() / 250 % 250) + "." +
                                       std::to_string(1 + ::getpid() % 250) + ".1";
    return address;
}
inline int some_free_port() {
    const event::Fd fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    sockaddr_in at{};
    at.sin_family = AF_INET;
    ::inet_pton(AF_INET, own_address().c_str(), &at.sin_addr);
    socklen_t size = sizeof at;
    if (::bind(fd.get(), reinterpret_cast<sockaddr*>(&at), size) != 0) return 0;
    ::getsockname(fd.get(), reinterpret_cast<sockaddr*>(&at), &size);
    return ntohs(at.sin_port);
}
// A port of it that nobody listens on now, and that was not given out before: the system may offer
// a closed one again.
inline int free_port() {
    static std::set<int> given;
    const int port = some_free_port();
    return given.insert(port).second ? port : free_port();
}

inline std::string replaced(std::string text, const std::string& what, const std::string& by) {
    const std::size_t at = text.find(what);
    if (at == std::string::npos) throw std::runtime_error("not in the text: " + what);
    return text.replace(at, what.size(), by);
}

class NodeProcess {
  public:
    // `config` as the platform words it, listening on 127.0.0.1:0, which is replaced by a free port
    // of own_address().
    explicit NodeProcess(const std::string& config, int port = free_port()) : port_(port) {
        std::string folder = "/tmp/silverreach-node-XXXXXX";
        if (!::mkdtemp(folder.data())) throw std::runtime_error(folder + ": cannot be made");
        folder_ = folder;
        configure(config);
    }
    ~NodeProcess() {
        if (pid_ > 0) signal(SIGKILL), wait_for_end();
        for (const char* name : {"/config.json", "/log"})
            ::unlink((folder_ + name).c_str());
        ::rmdir(folder_.c_str());
    }
    NodeProcess(const NodeProcess&) = delete;
    NodeProcess& operator=(const NodeProcess&) = delete;

    void configure(const std::string& config) const {
        write_file(replaced(config, "127.0.0.1:0", own_address() + ":" + std::to_string(port_)));
    }
    void write_file(const std::string& text) const {
        std::ofstream(config_file(), std::ios::trunc) << text;
    }
    std::string config_file() const { return folder_ + "/config.json"; }
    std::string log_file() const { return folder_ + "/log"; }
    // Starts it; its log goes to `error_fd`, or to log_file().
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
        const char* other = ::getenv("SILVERREACH_TESTED");  // another build of the program
        ::execl(other ? other : SILVERREACH_PROGRAM, "silverreach", "node", nullptr);
        ::_exit(127);
    }
    void signal(int number) const {
        if (pid_ > 0) ::kill(pid_, number);
    }
    // The wait status once it has ended, looked for without waiting.
    std::optional<int> ended() {
        if (pid_ > 0 && ::waitpid(pid_, &status_, WNOHANG) == pid_) pid_ = 0;
        return pid_ == 0 ? std::optional(status_) : std::nullopt;
    }
    int wait_for_end() {
        if (pid_ > 0) ::waitpid(pid_, &status_, 0), pid_ = 0;
        return status_;
    }
    std::string log() const {
        std::ifstream in(log_file());
        std::ostringstream text;
        text << in.rdbuf();
        return text.str();
    }
    int port() const { return port_; }
    pid_t pid() const { return pid_; }

    faults::SharedTable faults;

  private:
    int port_;
    std::string folder_;
    pid_t pid_ = -1;
    int status_ = 0;
};

}  // namespace test_support
