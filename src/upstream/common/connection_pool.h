// The connections to all hosts of one protocol: reuse with the most recently used first, limits,
// eviction, idle time-outs and closing what is no longer listed. Which host an attempt goes to,
// when and how often is decided elsewhere.
//
// Runs on the loop's thread. Owns its connections; a retired one is closed at once and destroyed at
// the loop's next turn.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "event/deferred_deletion.h"
#include "upstream/common/host_connections.h"
#include "upstream/common/pool_policy.h"
#include "upstream/common/pooled_connection.h"

namespace silverreach::upstream {

enum class AcquireError {
    unknown_host,        // no host of that name, or none with a known address
    host_limit_reached,  // PoolPolicy::max_in_use_per_host
    pool_limit_reached,  // PoolPolicy::max_connections, and nothing can be evicted
    local_shortage,      // the system lacks descriptors, ports or memory
    connect_refused      // the system refused at once
};
// How an attempt ends that got no connection: `not_started` where the host is not to blame.
Outcome outcome_of(AcquireError error);

// What a connection is acquired for.
struct ExchangeTraits {
    bool idempotent = true;     // may be repeated if the connection turns out to be closed
    bool health_check = false;  // passes the limit of a host: there are few, and they show its load
};

enum class DropReason {
    unsolicited_bytes,
    closed_by_host
};

// A change of one host in discovery.
struct HostUpdate {
    std::string host;
    bool available = true;                    // may get new exchanges
    std::optional<config::Endpoint> address;  // none: the known one stays
};

class ConnectionPool {
  public:
    // Makes the protocol's connection on a socket that is connecting to `host`.
    using Factory =
        std::function<std::unique_ptr<PooledConnection>(HostConnections& host, event::Fd fd)>;

    struct Stats {
        std::size_t open = 0;           // connections now
        std::size_t idle = 0;           // of these, idle
        std::size_t hosts = 0;          // hosts now
        std::uint64_t opened = 0;       // connections opened
        std::uint64_t reused = 0;       // exchanges begun on an idle connection
        std::uint64_t stale = 0;        // unused connections found closed, outdated or too old
        std::uint64_t unsolicited = 0;  // unused connections on which bytes came
        std::uint64_t full = 0;         // exchanges that ended as pool_limit_reached
    };

    ConnectionPool(event::Loop& loop, PoolPolicy policy, Factory factory);

    bool has_host(const std::string& host) const { return hosts_.contains(host); }
    // Adds a listed host unless it is known already.
    void add_host(const std::string& host, std::optional<config::Endpoint> address);
    // Closes unused connections to hosts that are unavailable or have moved; those in use end with
    // their exchanges. `complete`: hosts without an update are no longer listed.
    void update_hosts(bool complete, const std::vector<HostUpdate>& updates);

    // An idle connection, or a new one that is connecting; it counts as in use until `release`.
    std::variant<PooledConnection*, AcquireError> acquire(const std::string& host,
                                                          const ExchangeTraits& traits);
    // The connection's exchange has ended. `reusable`: kept for the next one if its host and the
    // policy allow; else retired.
    void release(PooledConnection& connection, bool reusable);
    // Closes an unused connection: one whose handshake goes on if there is any, else the one that
    // has been idle longest, to any host. False where every connection is in use.
    bool evict_unused();

    // From connections of this pool:
    void on_pending_connected(PooledConnection& connection);
    void drop_unused(PooledConnection& connection, DropReason reason);

    template <class Visitor>
    void for_each_in_use(Visitor visitor) const {
        for (const auto& [name, host] : hosts_)
            for (const auto& connection : host->in_use)
                visitor(*connection);
    }
    Stats stats() const;

  private:
    HostConnections* find_host(const std::string& host) const;
    PooledConnection* take_idle(HostConnections& host, bool idempotent);
    bool usable(const PooledConnection& connection, const HostConnections& host) const;
    std::variant<PooledConnection*, AcquireError> open_connection(HostConnections& host);
    event::Fd connect(const config::Endpoint& address, int& error);
    void remove_unused(PooledConnection& connection);
    template <class Predicate>
    void close_unused(HostConnections& host, Predicate should_close);
    void retire(std::unique_ptr<PooledConnection> connection);
    void sweep();

    event::Loop& loop_;
    PoolPolicy policy_;
    Factory factory_;
    std::unordered_map<std::string, std::unique_ptr<HostConnections>> hosts_;
    event::DeferredDeletion<PooledConnection> retired_;
    std::size_t open_ = 0;
    Stats counts_;  // what is counted, not what is there now
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace silverreach::upstream
