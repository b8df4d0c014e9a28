// Manages the connections to all hosts of one protocol: reuse (most recently used first), limits,
// eviction, idle timeouts, and closing connections to hosts that are no longer listed. The pool
// does not decide to which host an attempt is sent, when, or how often.
//
// Runs on the loop's thread and owns its connections. A retired connection is closed immediately
// and destroyed once the current callback of the loop has returned.
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
    unknown_host,        // no host has that name, or its address is not known
    host_limit_reached,  // PoolPolicy::max_in_use_per_host
    pool_limit_reached,  // PoolPolicy::max_connections, and no connection can be evicted
    local_shortage,      // a local shortage, such as of descriptors, ports or memory
    connect_refused      // connect() failed immediately for another reason
};
// Returns the outcome of an attempt that got no connection: `not_started` for the pool limit and a
// local shortage, which are not faults of the host, otherwise `connect_failed`.
Outcome outcome_of(AcquireError error);

// What a connection is acquired for.
struct ExchangeTraits {
    bool idempotent = true;  // may be repeated if the host has closed the connection
    // Exempt from the host limit, because health checks are few and report the host's load.
    bool health_check = false;
};

// A change of one host in discovery.
struct HostUpdate {
    std::string host;
    bool available = true;                    // may receive new exchanges
    std::optional<config::Endpoint> address;  // none: the known address is kept
};

class ConnectionPool {
  public:
    // Creates the protocol's connection for a socket that is connecting to `host`.
    using Factory =
        std::function<std::unique_ptr<PooledConnection>(HostConnections& host, event::Fd fd)>;

    struct Stats {
        std::size_t open = 0;      // current connections
        std::size_t idle = 0;      // current idle connections
        std::size_t hosts = 0;     // current hosts
        std::uint64_t opened = 0;  // connections opened
        std::uint64_t reused = 0;  // exchanges that reused an idle connection
        std::uint64_t waited = 0;  // of these, exchanges that waited for the end of its rest
        std::uint64_t stale = 0;   // unused connections closed by the host, or unusable on reuse
        std::uint64_t unsolicited = 0;  // unused connections that received bytes
        std::uint64_t full = 0;         // calls of acquire that failed with pool_limit_reached
    };

    ConnectionPool(event::Loop& loop, PoolPolicy policy, Factory factory);

    bool has_host(const std::string& host) const { return hosts_.contains(host); }
    // Adds a host, which counts as listed in discovery. Does nothing if the host is known already.
    void add_host(const std::string& host, std::optional<config::Endpoint> address);
    // Closes unused connections to hosts that are unavailable or have a new address; connections in
    // use are closed at the end of their exchanges. `complete`: hosts without an update are no
    // longer listed.
    void update_hosts(bool complete, const std::vector<HostUpdate>& updates);

    // Returns an idle connection or a new one that is connecting. It counts as in use until
    // release().
    std::variant<PooledConnection*, AcquireError> acquire(const std::string& host,
                                                          const ExchangeTraits& traits);
    // Takes back a connection whose exchange has ended. The pool keeps it if `reusable` is true,
    // its host is listed at the same address and the policy allows it; otherwise the pool retires
    // it.
    void release(PooledConnection& connection, bool reusable);
    // Closes one unused connection to any host: one whose handshake is in progress if there is any,
    // otherwise the one that has been idle longest. Returns false if every connection is in use.
    bool evict_unused();

    // Called by the connections of this pool:
    void on_pending_connected(PooledConnection& connection);
    void drop_unused(PooledConnection& connection, DropReason reason);
    // Whether a connection without a request can carry one, by what its socket holds now. Returns
    // why it cannot.
    std::optional<DropReason> drop_reason(const PooledConnection& connection) const;
    // Counts a connection in use that is lost before its request is written. Its exchange moves to
    // another connection.
    void count_drop(DropReason reason);

    template <class Visitor>
    void for_each_in_use(Visitor visitor) const {
        for (const auto& [name, host] : hosts_)
            for (const auto& connection : host->in_use)
                visitor(*connection);
    }
    Stats stats() const;

  private:
    HostConnections* find_host(const std::string& host) const;
    PooledConnection* take_idle(HostConnections& host, const ExchangeTraits& traits);
    std::optional<ReuseChoice> choose_idle(const HostConnections& host,
                                           const ExchangeTraits& traits) const;
    std::variant<PooledConnection*, AcquireError> open_connection(HostConnections& host);
    event::Fd connect(const config::Endpoint& address, int& error);
    void remove_unused(PooledConnection& connection);
    template <class Predicate>
    void close_unused(HostConnections& host, Predicate should_close);
    void retire(std::unique_ptr<PooledConnection> connection);
    void sweep();

    event::Loop& loop_;
    PoolPolicy policy_;
    ReuseRule reuse_rule_;
    Factory factory_;
    std::unordered_map<std::string, std::unique_ptr<HostConnections>> hosts_;
    event::DeferredDeletion<PooledConnection> retired_;
    std::size_t open_count_ = 0;
    Stats cumulative_stats_;  // only the cumulative counts
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace silverreach::upstream
