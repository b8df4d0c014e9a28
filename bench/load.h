// A load generator and a host for benchmarks: fixed requests over persistent connections, with
// exact latencies.
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

// Sends the same response to every request head or every RESP2 command.
class FixedHost {
  public:
    FixedHost(event::Loop& loop, std::size_t body_size, Protocol protocol = Protocol::http);
    ~FixedHost();
    int port() const { return listener_->port(); }

  private:
    struct Connection;
    event::Loop& loop_;
    Protocol protocol_;
    std::string response_;
    std::vector<std::unique_ptr<Connection>> connections_;
    std::unique_ptr<event::Listener> listener_;
};

struct Result {
    double seconds = 0;
    std::uint64_t responses = 0, failures = 0;
    std::vector<double> latencies_us;       // sorted
    double percentile(double share) const;  // microseconds; share: 0 to 1
    double rate() const { return static_cast<double>(responses) / seconds; }
};

struct Load {
    int port = 0;
    int connections = 64;
    // Requests per second of all connections; 0: each one sends after its response has arrived.
    double rate = 0;
    Micros warm_up{500'000}, duration{3'000'000};
    std::string request;
    Protocol protocol = Protocol::http;
    // Offset of 16 hexadecimal digits in the request that are replaced for each one; 0: none.
    std::size_t id_offset = 0;
};
Result run(const Load& load);

}  // namespace silverreach::bench
