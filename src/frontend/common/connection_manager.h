// Manages client connections independently of their protocol: accepting, limits, eviction and
// draining.
#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "config/config.h"
#include "event/buffer_budget.h"
#include "event/deferred_deletion.h"
#include "event/listener.h"
#include "event/loop.h"
#include "frontend/common/client_connection.h"
#include "frontend/common/drain_manager.h"

namespace silverreach::frontend {

// The settings in which the protocols differ.
struct ConnectionPolicy {
    std::size_t max_connections = 100;
    // Limit of lingering connections, which do not count towards max_connections; above it the one
    // that has lingered longest is closed. Unset: lingering connections count towards
    // max_connections, and only their timeout closes them.
    std::optional<std::size_t> max_lingering;
    // Whether a connection without work is evicted for a new one when max_connections is reached.
    // If not, the new one is closed. False for HTTP, where the operator sets max_connections and
    // how long clients may be idle.
    bool evict_idle = false;
    // Limit of what the system buffers for a connection in each direction (SO_SNDBUF, SO_RCVBUF).
    int socket_buffer_bytes = 128 * 1024;
    // Period of the timeout checks over all connections. 0: each connection schedules its own
    // checks, which avoids iterating over tens of thousands of idle ones.
    Micros sweep_period{0};
};

// Owns the connections and the listener. Used on the loop's thread; the loop must outlive it.
class ConnectionManager {
  public:
    struct Stats {
        std::uint64_t accepted = 0;
        std::uint64_t rejected = 0;  // at the limit, without a connection to evict
        std::uint64_t evicted = 0;   // for a new connection
    };
    // Creates a connection of the protocol for an accepted socket. `client_address`: the peer's
    // address.
    using Factory = std::function<std::unique_ptr<ClientConnection>(
        event::Fd fd, std::string client_address, Micros waiting_since)>;
    // Starts to listen. Throws event::SystemError if it cannot listen on the address.
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

    // Accepts the connections that the system has already accepted, then stops listening.
    // `deadline`: see DrainManager.
    void start_draining(Micros deadline);
    // Sets the function that is called while descriptors are short; see Listener::set_close_idle.
    void set_shortage_handler(std::function<bool()> close_idle) {
        listener_->set_close_idle(std::move(close_idle));
    }
    // Evicts a connection without work to free its descriptor; returns false if there is none.
    // Returns true without an eviction while a connection is lingering, because that one is about
    // to close.
    bool close_idle();
    void check_timeouts();  // of every connection

    // ---- for connections only ----
    void on_lingering(ClientConnection& connection);
    // Ends the connections that buffer most of what can be dropped until the budget is kept.
    void enforce(const event::BufferBudget& budget);
    // As above, in the loop's next turn, for callers that use their connection afterwards. The
    // budget must outlive the manager.
    void enforce_later(const event::BufferBudget& budget);
    // Removes the connection from the list and destroys it in the loop's next turn, because one of
    // its functions may still be running.
    void remove(ClientConnection& connection);

  private:
    // Returns false if no connection has bytes of the budget that can be dropped.
    bool drop_largest(const event::BufferBudget& budget);
    bool ensure_capacity();
    void accept(event::Fd fd, std::string client_address);
    ClientConnection* find_eviction_candidate() const;
    void sweep();

    event::Loop& loop_;
    ConnectionPolicy policy_;
    Factory factory_;
    DrainManager drain_;
    Stats stats_;
    std::vector<std::unique_ptr<ClientConnection>> connections_;
    std::size_t lingering_ = 0;  // number of lingering connections_
    bool enforcement_scheduled_ = false;
    event::DeferredDeletion<ClientConnection> deferred_deletion_;
    std::unique_ptr<event::Listener> listener_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace silverreach::frontend
