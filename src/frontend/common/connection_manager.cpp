#include "frontend/common/connection_manager.h"

#include <sys/socket.h>

#include <utility>

namespace silverreach::frontend {

ConnectionManager::ConnectionManager(event::Loop& loop, const config::Endpoint& listen,
                                     const ConnectionPolicy& policy, Factory factory)
    : loop_(loop), policy_(policy), factory_(std::move(factory)), deferred_deletion_(loop) {
    listener_ = std::make_unique<event::Listener>(
        loop, listen.ip, listen.port, listen.is_ipv6, [this] { return ensure_capacity(); },
        [this](event::Fd fd, std::string client_address) {
            accept(std::move(fd), std::move(client_address));
        });
    if (policy_.sweep_period > Micros(0)) sweep();
}

bool ConnectionManager::ensure_capacity() {
    const std::size_t counted_connections =
        connections_.size() - (policy_.max_lingering ? lingering_ : 0);
    if (counted_connections < policy_.max_connections) return true;
    ClientConnection* candidate = policy_.evict_idle ? find_eviction_candidate() : nullptr;
    if (!candidate) {
        ++stats_.rejected;
        return false;
    }
    ++stats_.evicted;
    candidate->evict();
    return true;
}

// Prefers a connection without a complete message to an idle one, and among equals the one that has
// waited longest.
ClientConnection* ConnectionManager::find_eviction_candidate() const {
    using Priority = ClientConnection::EvictionPriority;
    ClientConnection* best = nullptr;
    Priority best_priority = Priority::none;
    for (const auto& connection : connections_) {
        const Priority priority = connection->eviction_priority();
        if (connection->is_lingering() || priority == Priority::none) continue;
        const bool better =
            !best || priority > best_priority ||
            (priority == best_priority && connection->wait_started() < best->wait_started());
        if (!better) continue;
        if (priority == Priority::idle && !connection->is_quiescent()) continue;
        best = connection.get();
        best_priority = priority;
    }
    return best;
}

bool ConnectionManager::close_idle() {
    if (lingering_ > 0) return true;
    ClientConnection* candidate = find_eviction_candidate();
    if (candidate) candidate->evict();
    return candidate != nullptr;
}

void ConnectionManager::accept(event::Fd fd, std::string client_address) {
    ++stats_.accepted;
    for (const int option : {SO_SNDBUF, SO_RCVBUF})
        setsockopt(fd.get(), SOL_SOCKET, option, &policy_.socket_buffer_bytes,
                   sizeof policy_.socket_buffer_bytes);
    connections_.push_back(
        factory_(std::move(fd), std::move(client_address), listener_->waiting_since()));
    connections_.back()->slot_ = connections_.size() - 1;
}

void ConnectionManager::on_lingering(ClientConnection& connection) {
    ++lingering_;
    if (!policy_.max_lingering || lingering_ <= *policy_.max_lingering) return;
    ClientConnection* longest = nullptr;
    for (const auto& other : connections_) {
        if (!other->is_lingering() || other.get() == &connection) continue;
        if (!longest || other->wait_started() < longest->wait_started()) longest = other.get();
    }
    (longest ? *longest : connection).abort_lingering();
}

bool ConnectionManager::drop_largest(const event::BufferBudget& budget) {
    ClientConnection* largest = nullptr;
    std::size_t largest_bytes = 0;
    for (const auto& connection : connections_) {
        const std::size_t bytes = connection->droppable_bytes(budget);
        if (bytes <= largest_bytes) continue;
        largest = connection.get();
        largest_bytes = bytes;
    }
    if (largest) largest->drop(budget);
    return largest != nullptr;
}

void ConnectionManager::enforce(const event::BufferBudget& budget) {
    while (budget.exceeded() && drop_largest(budget)) {
    }
}

void ConnectionManager::enforce_later(const event::BufferBudget& budget) {
    if (!budget.exceeded() || std::exchange(enforcement_scheduled_, true)) return;
    loop_.after(Micros(0), [this, &budget, alive = std::weak_ptr<bool>(alive_)] {
        if (alive.expired()) return;
        enforcement_scheduled_ = false;
        enforce(budget);
    });
}

void ConnectionManager::remove(ClientConnection& connection) {
    const std::size_t slot = connection.slot_;
    if (connection.is_lingering()) --lingering_;
    deferred_deletion_.schedule(std::move(connections_[slot]));
    if (slot + 1 != connections_.size()) {
        connections_[slot] = std::move(connections_.back());
        connections_[slot]->slot_ = slot;
    }
    connections_.pop_back();
}

void ConnectionManager::start_draining(Micros deadline) {
    listener_->stop();
    drain_.start(deadline);
}

// A check may remove its connection, and further connections whose end that close causes.
void ConnectionManager::check_timeouts() {
    for (std::size_t i = connections_.size(); i-- > 0;)
        if (i < connections_.size()) connections_[i]->check_timeouts();
}

void ConnectionManager::sweep() {
    check_timeouts();
    loop_.after(policy_.sweep_period, [this, alive = std::weak_ptr<bool>(alive_)] {
        if (!alive.expired()) sweep();
    });
}

}  // namespace silverreach::frontend
