// A discovery service on loopback: xDS v3 endpoint discovery as REST-JSON, told late as a real one
// is.
#pragma once

#include <map>
#include <string>

#include "fakes/recorder.h"
#include "fakes/server.h"

namespace silverreach::fakes {

struct DiscoveryEntry {
    std::string state = "HEALTHY";  // or DRAINING; hosts that are gone are left out
    std::string zone, kind;
    int cell = 0;
    std::int64_t started_unix_ms = 0;
    bool operator==(const DiscoveryEntry&) const = default;
};

class DiscoveryServer {
  public:
    DiscoveryServer(event::Loop& loop, std::string cluster, Micros lag, Recorder& records);
    int port() const { return server_.port(); }
    // Tells gateways from `lag` on.
    void set(const std::string& host, const DiscoveryEntry& entry);
    void remove(const std::string& host);
    // The list as a file holds it.
    std::string json() const;

  private:
    void handle(Server::Token token, const http::Head& head, const std::string& body);
    void change(std::function<void()> make);

    event::Loop& loop_;
    std::string cluster_;
    Micros lag_;
    Recorder& records_;
    std::map<std::string, DiscoveryEntry> hosts_;
    std::uint64_t version_ = 1;
    std::map<std::string, std::uint64_t> told_;  // by node: the version recorded last
    Server server_;
};

}  // namespace silverreach::fakes
