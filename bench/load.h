// A light load generator and host for measuring: fixed requests over kept connections, latencies
// kept exactly.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "event/listener.h"
#include "event/stream.h"

namespace silverreach::bench {

using Micros = std::chrono::microseconds;

enum class Protocol {
    http,
    resp
};

// Answers every request head, or every RESP2 command, with the same bytes.
class FixedHost {
  public:
    FixedHost(event::Loop& loop, std::size_t body, Protocol protocol = Protocol::http);
    ~FixedHost();
    int port() const { return listener_->port(); }

  private:
    struct Connection;
    event::Loop& loop_;
    Protocol protocol_;
    std::string answer_;
    std::vector<std::unique_ptr<Connection>> connections_;
    std::unique_ptr<event::Listener> listener_;
};

struct Result {
    double seconds = 0;
    std::uint64_t answers = 0, bad = 0;
    std::vector<double> micros;  // latencies, sorted
    double percentile(double p) const;
    double rate() const { return static_cast<double>(answers) / seconds; }
};

struct Load {
    int port = 0;
    int connections = 64;
    double rate =
        0;  // requests a second in all; 0: each connection sends as soon as it is answered
    Micros warm_up{500'000}, span{3'000'000};
    std::string request;
    Protocol protocol = Protocol::http;
    std::size_t id_at =
        0;  // where 16 digits stand in the request that are new each time; 0: nowhere
};
Result run(const Load& load);

}  // namespace silverreach::bench
