// The connections to one host and where it listens. Filled and emptied by ConnectionPool only.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "config/config.h"
#include "upstream/common/pooled_connection.h"

namespace silverreach::upstream {

struct HostConnections {
    using List = std::vector<std::unique_ptr<PooledConnection>>;

    std::string host;
    std::optional<config::Endpoint> address;  // none while it is not known
    List idle;                                // the most recently used last
    List in_use;                              // in no order
    List pending;        // the handshake goes on, and no exchange waits for it; oldest first
    bool listed = true;  // discovery lists the host as available

    bool empty() const { return idle.empty() && in_use.empty() && pending.empty(); }
};

}  // namespace silverreach::upstream
