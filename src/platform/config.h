// The configuration of one gateway on the platform: the JSON file that NODE_CONFIG names and the
// NODE_* environment variables. No I/O.
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
    std::vector<config::Endpoint> peers;  // by rank, this instance included
    TargetList initial_list;              // in use until discovery sends a list; may be outdated
    Settings settings;
    // Settings that the decision engine does not use.
    Micros connect_timeout{250'000}, idle_timeout{15'000'000};  // of connections to hosts
    double max_units = 1;                                       // of one request
};

// Throws std::invalid_argument with a message of one line that names the variable or the key.
// `get_variable` returns the value of an environment variable, or nullptr. A variable that is set
// and not empty overrides its key, except that the key `discovery` overrides NODE_DISCOVERY.
// Unknown keys are ignored.
NodeConfig read_config(std::string_view text,
                       const std::function<const char*(const char*)>& get_variable);

// Whether the text is one complete JSON object.
bool is_object(std::string_view text);

}  // namespace silverreach::platform
