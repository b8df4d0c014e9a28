#include "scenario_runner/gateway_process.h"

#include <fcntl.h>
#include <fmt/format.h>
#include <spawn.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <stdexcept>

namespace silverreach::scenario {
namespace {
double seconds(const timeval& time) {
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) / 1e6;
}
}  // namespace

void write_text(const std::string& path, const std::string& text) {
    std::ofstream out(path + ".new", std::ios::binary);
    out << text;
    out.close();
    if (!out || rename((path + ".new").c_str(), path.c_str()) != 0)
        throw std::runtime_error(path + ": cannot be written");
}

std::vector<std::pair<std::string, int>> peer_addresses(int gateways) {
    constexpr int peer_port = 7946;
    const int second_byte = 64 + getpid() % 128, third_byte = getpid() / 128 % 250;
    std::vector<std::pair<std::string, int>> addresses;
    addresses.reserve(gateways);
    for (int i = 0; i < gateways; ++i)
        addresses.emplace_back(fmt::format("127.{}.{}.{}", second_byte, third_byte, i + 1),
                               peer_port);
    return addresses;
}

GatewayProcess::~GatewayProcess() {
    stop(SIGKILL);
}

void GatewayProcess::start() {
    int pipe_ends[2];
    if (pipe2(pipe_ends, O_CLOEXEC | O_NONBLOCK) != 0)
        throw std::runtime_error("cannot create a pipe for a gateway");
    output_fd_ = event::Fd(pipe_ends[0]);
    event::Fd write_end(pipe_ends[1]);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_adddup2(&actions, write_end.get(), 1);
    posix_spawn_file_actions_addopen(&actions, 2, log_.c_str(), O_WRONLY | O_CREAT | O_APPEND,
                                     0644);
    const char* argv[] = {program_.c_str(), "serve", "--config", config_.c_str(), nullptr};
    const int error =
        posix_spawn(&pid_, program_.c_str(), &actions, nullptr, const_cast<char**>(argv), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (error != 0) throw std::runtime_error(program_ + ": cannot be started");
    output_.clear(), port_ = 0;
}
int GatewayProcess::port() {
    char buffer[256];
    if (port_ == 0 && output_fd_) {
        const ssize_t size = ::read(output_fd_.get(), buffer, sizeof buffer);
        if (size > 0) output_.append(buffer, static_cast<std::size_t>(size));
        const std::size_t position = output_.find("port ");
        if (position != std::string::npos && output_.find('\n', position) != std::string::npos)
            port_ = std::atoi(output_.c_str() + position + 5);
    }
    return port_;
}
bool GatewayProcess::running() {
    if (pid_ > 0 && waitpid(pid_, nullptr, WNOHANG) == pid_) pid_ = 0;
    return pid_ > 0;
}
void GatewayProcess::signal(int number) const {
    if (pid_ > 0) ::kill(pid_, number);
}
void GatewayProcess::stop(int number) {
    if (pid_ <= 0) return;
    ::kill(pid_, number);
    rusage usage{};
    wait4(std::exchange(pid_, 0), nullptr, 0, &usage);
    cpu_s_ += seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

}  // namespace silverreach::scenario
