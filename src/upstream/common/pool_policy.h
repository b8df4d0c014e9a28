// What the pools of the two protocols do differently. Everything else in this folder is the same
// for both.
#pragma once

#include <cstddef>
#include <limits>

#include "silverreach/interface.h"

namespace silverreach::upstream {

inline constexpr std::size_t unlimited = std::numeric_limits<std::size_t>::max();

struct PoolPolicy {
    // Connections in use to one host; a request beyond them fails, a health check does not. HTTP
    // limits here, as an operator sizes its hosts one by one.
    std::size_t max_in_use_per_host = unlimited;
    // Connections to all hosts. At the limit an unused one is evicted. RESP limits here: its
    // process is given a number of descriptors as a whole.
    std::size_t max_connections = unlimited;
    // Evicts an unused connection where the system has no descriptor for a new one. The RESP
    // gateway runs close to its descriptor limit by design.
    bool evict_on_descriptor_shortage = false;
    // Discards an idle connection that is too old, belongs to an earlier address of its host, or
    // has something to read. Needed where hosts move between addresses (RESP); an HTTP host is
    // named by its address, and its reset is seen as that of the attempt.
    bool verify_before_reuse = false;
    // Unused connections kept for each host while their handshake goes on. HTTP keeps none: an
    // attempt that gives up there closes its connection.
    std::size_t max_pending_per_host = 0;

    Micros idle_timeout{0};     // an idle connection is closed after this
    Micros pending_timeout{0};  // an unused connection whose handshake goes on is closed after this
    // Idle time after which only idempotent requests reuse a connection, as its host may be closing
    // it; `Micros::max()` sets no limit.
    Micros non_idempotent_reuse_limit = Micros::max();
    Micros sweep_interval{0};  // time between two checks of the time-outs above
};

}  // namespace silverreach::upstream
