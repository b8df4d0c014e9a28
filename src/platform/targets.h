// The platform's discovery: its list of hosts, whole or in part, as JSON. No I/O.
#pragma once

#include <simdjson.h>

#include <optional>
#include <string_view>
#include <vector>

#include "config/config.h"
#include "silverreach/interface.h"

namespace silverreach::platform {

struct Target {
    EndpointEntry entry;  // its host is the uid; started in Unix microseconds, 0 for long ago
    std::optional<config::Endpoint> endpoint;  // none where the host is gone
};
struct TargetList {
    std::int64_t revision = 0;
    bool complete = false;  // else only the entries that changed
    std::vector<Target> targets;
};

// Nothing where any part of the text is not as the form has it: half a list is worse than an old
// one.
std::optional<TargetList> read_targets(simdjson::dom::object object);
std::optional<TargetList> read_targets(std::string_view text);

}  // namespace silverreach::platform
