// A fake discovery service on loopback: xDS v3 endpoint discovery as REST-JSON, with a delay before
// changes become visible.
#pragma once

#include <map>
#include <string>

#include "fakes/recorder.h"
#include "fakes/server.h"

namespace silverreach::fakes {

struct DiscoveryEntry {
    std::string state = "HEALTHY";  // or DRAINING; removed hosts have no entry
    std::string zone, kind;
    int cell = 0;
    std::int64_t started_unix_ms = 0;
    bool operator==(const DiscoveryEntry&) const = default;
};

class DiscoveryServer {
  public:
    DiscoveryServer(event::Loop& loop, std::string cluster, Micros delay, Recorder& records);
    int port() const { return server_.port(); }
    // Gateways see a change after `delay`.
    void set(const std::string& host, const DiscoveryEntry& entry);
    void remove(const std::string& host);
    // Returns the host list in the format of the response, which a host file has too.
    std::string to_json() const;

  private:
    void handle_request(Server::Token token, const http::Head& head, const std::string& body);
    void apply_later(std::function<void()> change);

    event::Loop& loop_;
    std::string cluster_;
    Micros delay_;
    Recorder& records_;
    std::map<std::string, DiscoveryEntry> hosts_;
    std::uint64_t version_ = 1;
    std::map<std::string, std::uint64_t> recorded_versions_;  // latest one, by node
    Server server_;
};

}  // namespace silverreach::fakes
