// Runs a gateway as a process of its own, as operators do.
#pragma once

#include <sys/types.h>

#include <string>
#include <utility>
#include <vector>

#include "event/fd.h"
#include "event/loop.h"

namespace silverreach::scenario {

// Replaces the file atomically, so that a gateway reads either the old or the new content. Throws
// std::runtime_error if the file cannot be written.
void write_text(const std::string& path, const std::string& text);

// Returns the addresses, by rank, on which gateways receive peer messages. Each is a loopback
// address of its own, so that ports of other programs do not conflict.
std::vector<std::pair<std::string, int>> peer_addresses(int gateways);

class GatewayProcess {
  public:
    // `program`: the executable; `log`: the file for its standard error.
    GatewayProcess(std::string program, std::string config, std::string log)
        : program_(std::move(program)), config_(std::move(config)), log_(std::move(log)) {}
    ~GatewayProcess();
    GatewayProcess(const GatewayProcess&) = delete;
    GatewayProcess& operator=(const GatewayProcess&) = delete;

    void start();  // throws std::runtime_error if the process cannot be started
    int port();    // listening port, read from its standard output; 0: not listening yet
    bool running();
    void signal(int number) const;
    void stop(int number);                   // sends the signal and waits until the process ends
    double cpu_s() const { return cpu_s_; }  // CPU seconds of all stopped processes

  private:
    std::string program_, config_, log_, output_;
    event::Fd output_fd_;
    pid_t pid_ = 0;
    int port_ = 0;
    double cpu_s_ = 0;
};

}  // namespace silverreach::scenario
