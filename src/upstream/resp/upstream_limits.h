// Limits of the RESP upstream.
#pragma once

#include <cstddef>

#include "silverreach/interface.h"
#include "upstream/common/pool_policy.h"

namespace silverreach::upstream_resp {

struct UpstreamLimits {
    std::size_t max_connections = 100;  // to all hosts
    Micros connect_timeout{250'000};
    Micros idle_timeout{12'000'000};
    Micros health_check_timeout{250'000};
    // Idle time of a connection after which a non-idempotent request gets a new one.
    Micros non_idempotent_reuse_limit{1'000'000};
    upstream::ReuseSettings reuse = upstream::default_reuse;
    bool request_load_report = true;  // in health checks
    // Bytes of incomplete responses on all connections; beyond this, responses above a minimum size
    // are dropped as malformed.
    std::size_t max_buffered_bytes = std::size_t{8} * 1024 * 1024;
};

}  // namespace silverreach::upstream_resp
