// A gateway as a process of its own, as operators run it. I/O.
#pragma once

#include <sys/types.h>

#include <string>
#include <utility>
#include <vector>

#include "event/fd.h"
#include "event/loop.h"

namespace silverreach::scenario {

// Replaces the file at one stroke, as an operator's tool would: a gateway reads the old one or the
// new one. Throws std::runtime_error where it cannot be written.
void write_text(const std::string& path, const std::string& text);

// Where gateways hear their peers, by rank: a loopback address each, so that no other program's
// ports are in the way.
std::vector<std::pair<std::string, int>> peer_addresses(int gateways);

class GatewayProcess {
  public:
    // `program`: the executable; `log`: takes its standard error.
    GatewayProcess(std::string program, std::string config, std::string log)
        : program_(std::move(program)), config_(std::move(config)), log_(std::move(log)) {}
    ~GatewayProcess();
    GatewayProcess(const GatewayProcess&) = delete;
    GatewayProcess& operator=(const GatewayProcess&) = delete;

    void start();  // throws std::runtime_error where it cannot be
    int port();    // that it listens on, as its standard output tells; 0: not yet
    bool running();
    void signal(int number) const;
    void stop(int number);                   // and waits for its end
    double cpu_s() const { return cpu_s_; }  // of all its ended lives

  private:
    std::string program_, config_, log_, text_;
    event::Fd out_;
    pid_t pid_ = 0;
    int port_ = 0;
    double cpu_s_ = 0;
};

}  // namespace silverreach::scenario
