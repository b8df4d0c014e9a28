// The settings in which the connection pools of the two protocols differ. All other code in this
// folder is the same for both.
#pragma once

#include <chrono>
#include <cstddef>
#include <limits>

#include "silverreach/interface.h"
#include "upstream/common/reuse_rule.h"

namespace silverreach::upstream {

// Hosts may send a second response some milliseconds late.
inline constexpr ReuseSettings default_reuse{.rest = std::chrono::milliseconds(12)};

inline constexpr std::size_t unlimited = std::numeric_limits<std::size_t>::max();

struct PoolPolicy {
    // Maximum connections in use per host. Beyond it a request fails, but a health check does not.
    // Set for HTTP, where operators size each host separately.
    std::size_t max_in_use_per_host = unlimited;
    // Maximum connections to all hosts together. At the limit an unused connection is evicted. Set
    // for RESP, whose process has a limit on its total number of descriptors.
    std::size_t max_connections = unlimited;
    // Evicts an unused connection if the system has no descriptor for a new one. Set for RESP, as
    // the RESP gateway runs close to its descriptor limit by design.
    bool evict_on_descriptor_shortage = false;
    // Maximum unused connections kept per host while their handshake is in progress. 0 for HTTP,
    // where an attempt that ends during the handshake closes its connection.
    std::size_t max_pending_per_host = 0;

    Micros idle_timeout{0};     // after which an idle connection is closed
    Micros pending_timeout{0};  // after which an unused connection that is connecting is closed
    ReuseSettings reuse;
    Micros sweep_interval{0};  // time between checks of the two timeouts
};

}  // namespace silverreach::upstream
