// A list of hosts as xDS v3 endpoint discovery writes it in JSON (ClusterLoadAssignment, alone or
// within a DiscoveryResponse). No I/O.
//
// Metadata under the filter name "silverreach" adds `kind` (text), `cell` (number) and
// `started_unix_ms` (the host's latest start by the wall clock).
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "openapi/document.h"
#include "silverreach/interface.h"

namespace silverreach::discovery {

struct Listed {
    EndpointEntry entry;                 // `started` is not set
    std::int64_t started_unix_ms = 0;    // 0: long past
    std::vector<std::string> addresses;  // further ones of the same host
};
struct HostList {
    std::string version;
    std::vector<Listed> hosts;
};

// False, with every problem appended, where the text is no such list of the cluster; a list with
// one bad entry is bad as a whole, since a host left out would count as gone.
bool parse_endpoints(std::string_view text, const std::string& source, const std::string& cluster,
                     HostList& into, std::vector<openapi::Problem>& problems);

// Start times by the wall clock, put on the gateway's own clock once each, so that they do not move
// with either.
class StartTimes {
  public:
    Micros place(const std::string& host, std::int64_t started_unix_ms, Micros now,
                 std::int64_t unix_ms_now);
    void keep_only(const std::vector<EndpointEntry>& hosts);

  private:
    std::map<std::string, std::pair<std::int64_t, Micros>> known_;
};

}  // namespace silverreach::discovery
