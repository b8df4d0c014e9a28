// The connections to one host, and its address. Only ConnectionPool changes the lists.
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
    std::optional<config::Endpoint> address;  // empty while it is not known
    List idle;                                // ordered by last use, most recent last
    List in_use;                              // unordered
    List pending;        // handshake in progress, no exchange waits for it; oldest first
    bool listed = true;  // discovery lists the host as available

    bool empty() const { return idle.empty() && in_use.empty() && pending.empty(); }
};

}  // namespace silverreach::upstream
