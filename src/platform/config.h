// What the platform tells one gateway: the JSON that NODE_CONFIG names, with the NODE_* variables
// above it. No I/O, no decision.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "config/config.h"
#include "platform/targets.h"

namespace silverreach::platform {

struct NodeLimits {
    std::int64_t memory_mb = 192;
    int sockets = 256;
};

struct NodeConfig {
    std::string name;
    config::Endpoint listen, discovery;
    std::uint64_t seed = 0;
    NodeLimits limits;
    std::optional<config::Endpoint> peer_listen, broadcast;
    std::vector<config::Endpoint> peers;  // by rank, the own one included
    TargetList initial_list;              // may be old
    Settings settings;
    // settings that the module has no use for
    Micros connect_timeout{250'000}, idle_timeout{15'000'000};  // of a connection to a host
    double max_units = 1;                                       // that one request counts
};

// Throws std::invalid_argument with one plain line that names the variable or the key. `variable`
// gives an environment variable or nothing. An unknown key is passed over.
NodeConfig read_config(std::string_view text,
                       const std::function<const char*(const char*)>& get_variable);

// Whether the text is one whole JSON object.
bool is_object(std::string_view text);

}  // namespace silverreach::platform
