// Parses an endpoint list in the JSON form of xDS v3 endpoint discovery: a ClusterLoadAssignment,
// alone or within a DiscoveryResponse. No I/O.
//
// Metadata under the filter name "silverreach" adds `kind` (text), `cell` (number) and
// `started_unix_ms` (the endpoint's latest start by the wall clock).
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "openapi/document.h"
#include "silverreach/interface.h"

namespace silverreach::discovery {

struct ListedEndpoint {
    EndpointEntry entry;                 // without `started_at`
    std::int64_t started_unix_ms = 0;    // 0: long ago
    std::vector<std::string> addresses;  // additional addresses of the same endpoint
};
struct EndpointList {
    std::string version;
    std::vector<ListedEndpoint> endpoints;
};

// Parses the list of `cluster` into `list`. False, with every problem appended to `problems` under
// the name `source`, where the text is no such list. One invalid entry makes the whole list
// invalid, since an endpoint that is left out would count as removed.
bool parse_endpoint_list(std::string_view text, const std::string& source,
                         const std::string& cluster, EndpointList& list,
                         std::vector<openapi::Problem>& problems);

}  // namespace silverreach::discovery
