// The connections of clients below their protocol: accepting, limits, eviction and draining.
#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "config/config.h"
#include "event/deferred_deletion.h"
#include "event/listener.h"
#include "event/loop.h"
#include "frontend/common/client_connection.h"
#include "frontend/common/drain_manager.h"

namespace silverreach::frontend {

// Where the protocols differ.
struct ConnectionPolicy {
    std::size_t max_connections = 100;
    // Lingering connections, beside max_connections; beyond it the one that has lingered longest is
    // closed. Unset: they count among max_connections, and only their own time ends them.
    std::optional<std::size_t> max_lingering;
    // At max_connections an idle connection makes place for a new one; else the new one is closed.
    // Off for HTTP, whose limit is the operator's and whose clients may idle as long as he set.
    bool evict_idle = false;
    // Between two checks of all connections' waits. 0: each connection schedules its own checks, as
    // tens of thousands of idle ones are not to be walked through.
    Micros sweep_period{0};
};

// Owns the connections and the listener. Used on the loop's thread; the loop must outlive it.
class ConnectionManager {
  public:
    struct Stats {
        std::uint64_t accepted = 0;
        std::uint64_t rejected = 0;  // at the limit, with nothing to evict
        std::uint64_t evicted = 0;   // for a new connection
    };
    // Makes a connection of the protocol for an accepted socket. `client`: the peer's address.
    using Factory = std::function<std::unique_ptr<ClientConnection>(
        event::Fd fd, std::string client, Micros waiting_since)>;
    // Listens at once. Throws event::SystemError where the address cannot be listened on.
    ConnectionManager(event::Loop& loop, const config::Endpoint& listen,
                      const ConnectionPolicy& policy, Factory factory);
    ConnectionManager(const ConnectionManager&) = delete;
    ConnectionManager& operator=(const ConnectionManager&) = delete;

    event::Loop& loop() const { return loop_; }
    const DrainManager& drain() const { return drain_; }
    const Stats& stats() const { return stats_; }
    int port() const { return listener_->port(); }
    bool listening() const { return listener_->listening(); }
    std::size_t size() const { return connections_.size(); }
    template <class Predicate>
    bool any_of(Predicate predicate) const {
        return std::ranges::any_of(connections_,
                                   [&](const auto& connection) { return predicate(*connection); });
    }

    // Accepts what the system has accepted already, then no more. `deadline`: of DrainManager.
    void start_draining(Micros deadline);
    // Called while descriptors are short; see Listener::set_close_idle.
    void on_shortage(std::function<bool()> close_idle) {
        listener_->set_close_idle(std::move(close_idle));
    }
    // Evicts a connection at rest to free its descriptor; false where there is none. True without
    // another eviction while one is lingering, as that is about to close.
    bool close_idle();
    void check_timeouts();  // of every connection

    // ---- for connections only ----
    void on_lingering(ClientConnection& connection);
    // Takes the connection out of the list; it is destroyed at the loop's next turn, as it may be
    // in the middle of a call of its own.
    void remove(ClientConnection& connection);

  private:
    bool ensure_capacity();
    void accept(event::Fd fd, std::string client);
    ClientConnection* eviction_candidate() const;
    void sweep();

    event::Loop& loop_;
    ConnectionPolicy policy_;
    Factory factory_;
    DrainManager drain_;
    Stats stats_;
    std::vector<std::unique_ptr<ClientConnection>> connections_;
    std::size_t lingering_ = 0;  // of connections_
    event::DeferredDeletion<ClientConnection> deferred_deletion_;
    std::unique_ptr<event::Listener> listener_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace silverreach::frontend
