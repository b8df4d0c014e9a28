// Parses an endpoint list in the JSON form of xDS v3 endpoint discovery: a ClusterLoadAssignment,
// alone or within a DiscoveryResponse. No I/O.
//
// Metadata under the filter name "silverreach" adds `kind` (string), `cell` (number) and
// `started_unix_ms` (number: the latest start of the endpoint in Unix time).
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "openapi/document.h"
#include "silverreach/interface.h"

namespace silverreach::discovery {

struct ListedEndpoint {
    EndpointEntry entry;                 // `started_at` is not set
    std::int64_t started_unix_ms = 0;    // 0: long ago
    std::vector<std::string> addresses;  // additional addresses of the same endpoint
};
struct EndpointList {
    std::string version;
    std::vector<ListedEndpoint> endpoints;
};

// Parses the endpoint list of `cluster` from `text` into `list`. Returns false if the text is not a
// valid list, and appends every problem to `problems` under the name `source`. One invalid entry
// makes the complete list invalid, since an endpoint that is left out would count as removed.
bool parse_endpoint_list(std::string_view text, const std::string& source,
                         const std::string& cluster, EndpointList& list,
                         std::vector<openapi::Problem>& problems);

}  // namespace silverreach::discovery
