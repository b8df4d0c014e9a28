// Reads the platform's list of hosts from JSON: a complete list, or the entries that changed. No
// I/O.
#pragma once

#include <simdjson.h>

#include <optional>
#include <string_view>
#include <vector>

#include "config/config.h"
#include "silverreach/interface.h"

namespace silverreach::platform {

struct Target {
    // id: the uid; started_at: Unix time in microseconds, 0: long ago.
    EndpointEntry entry;
    std::optional<config::Endpoint> endpoint;  // may be absent where the host is removed
};
struct TargetList {
    std::int64_t revision = 0;
    bool complete = false;  // false: only the entries that changed
    std::vector<Target> targets;
};

// Return nothing where any part of the list is invalid: part of a list is worse than an outdated
// complete one.
std::optional<TargetList> read_targets(simdjson::dom::object object);
std::optional<TargetList> read_targets(std::string_view text);

}  // namespace silverreach::platform
