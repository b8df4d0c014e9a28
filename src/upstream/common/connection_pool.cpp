#include "upstream/common/connection_pool.h"

#include <algorithm>
#include <cerrno>
#include <utility>

namespace silverreach::upstream {
namespace {
HostConnections::List::iterator find_in(HostConnections::List& list,
                                        const PooledConnection& connection) {
    return std::find_if(list.begin(), list.end(),
                        [&](const auto& entry) { return entry.get() == &connection; });
}

std::unique_ptr<PooledConnection> extract_unordered(HostConnections::List& list,
                                                    HostConnections::List::iterator position) {
    auto connection = std::move(*position);
    *position = std::move(list.back());
    list.pop_back();
    return connection;
}

std::unique_ptr<PooledConnection> extract_ordered(HostConnections::List& list,
                                                  HostConnections::List::iterator position) {
    auto connection = std::move(*position);
    list.erase(position);
    return connection;
}
}  // namespace

Outcome outcome_of(AcquireError error) {
    switch (error) {
        case AcquireError::pool_limit_reached:
        case AcquireError::local_shortage:
            return Outcome::not_started;
        default:
            return Outcome::connect_failed;
    }
}

ConnectionPool::ConnectionPool(event::Loop& loop, PoolPolicy policy, Factory factory)
    : loop_(loop),
      policy_(policy),
      reuse_rule_(policy.reuse),
      factory_(std::move(factory)),
      retired_(loop) {
    sweep();
}

// ---- hosts ----

HostConnections* ConnectionPool::find_host(const std::string& host) const {
    const auto it = hosts_.find(host);
    return it == hosts_.end() ? nullptr : it->second.get();
}

void ConnectionPool::add_host(const std::string& host, std::optional<config::Endpoint> address) {
    auto& entry = hosts_[host];
    if (entry) return;
    entry = std::make_unique<HostConnections>();
    entry->host = host;
    entry->address = std::move(address);
}

void ConnectionPool::update_hosts(bool complete, const std::vector<HostUpdate>& updates) {
    if (complete)
        for (auto& [name, host] : hosts_)
            host->listed = false;
    for (const HostUpdate& update : updates) {
        add_host(update.host, std::nullopt);
        HostConnections& host = *find_host(update.host);
        host.listed = update.available;
        if (update.address) host.address = update.address;
    }
    for (auto& [name, host] : hosts_)
        close_unused(*host, [&host = *host](const PooledConnection& connection) {
            return !host.listed || !connection.was_opened_to(host.address);
        });
}

// ---- acquire and release ----

std::variant<PooledConnection*, AcquireError> ConnectionPool::acquire(
    const std::string& host, const ExchangeTraits& traits) {
    HostConnections* connections = find_host(host);
    if (!connections) return AcquireError::unknown_host;
    if (PooledConnection* idle = take_idle(*connections, traits)) return idle;
    if (!connections->address) return AcquireError::unknown_host;
    if (!traits.health_check && connections->in_use.size() >= policy_.max_in_use_per_host)
        return AcquireError::host_limit_reached;
    return open_connection(*connections);
}

PooledConnection* ConnectionPool::take_idle(HostConnections& host, const ExchangeTraits& traits) {
    while (const auto choice = choose_idle(host, traits)) {
        const auto position = host.idle.begin() + static_cast<std::ptrdiff_t>(choice->index);
        auto connection = extract_ordered(host.idle, position);
        if (const auto reason = drop_reason(*connection)) {
            count_drop(*reason);
            retire(std::move(connection));
            continue;
        }
        ++cumulative_stats_.reused;
        if (choice->wait > Micros{0}) ++cumulative_stats_.waited;
        connection->set_not_before(loop_.now() + choice->wait);
        host.in_use.push_back(std::move(connection));
        return host.in_use.back().get();
    }
    return nullptr;
}

std::optional<ReuseChoice> ConnectionPool::choose_idle(const HostConnections& host,
                                                       const ExchangeTraits& traits) const {
    const auto idle_at = [&host](std::size_t index) {
        const PooledConnection& connection = *host.idle[index];
        return IdleConnection{connection.unused_since(), connection.exchange_ended_at()};
    };
    const auto is_waiting = [](const auto& connection) {
        return connection->state() == PooledConnection::State::resting;
    };
    ReuseQuery query;
    query.now = loop_.now();
    query.idle_count = host.idle.size();
    query.waiting_count = static_cast<std::size_t>(std::ranges::count_if(host.in_use, is_waiting));
    query.idempotent = traits.idempotent;
    query.may_open =
        traits.health_check || host.in_use.size() + host.idle.size() < policy_.max_in_use_per_host;
    return reuse_rule_.choose(query, idle_at);
}

std::optional<DropReason> ConnectionPool::drop_reason(const PooledConnection& connection) const {
    if (connection.stream().has_unread_input())
        return connection.stream().peer_closed() ? DropReason::closed_by_host
                                                 : DropReason::unsolicited_bytes;
    const bool timed_out = loop_.now() - connection.unused_since() >= policy_.idle_timeout;
    if (timed_out || !connection.was_opened_to(connection.host().address))
        return DropReason::outdated;
    return std::nullopt;
}

std::variant<PooledConnection*, AcquireError> ConnectionPool::open_connection(
    HostConnections& host) {
    if (open_count_ >= policy_.max_connections && !evict_unused()) {
        ++cumulative_stats_.full;
        return AcquireError::pool_limit_reached;
    }
    int error = 0;
    event::Fd fd = connect(*host.address, error);
    if (!fd)
        return event::is_local_shortage(error) ? AcquireError::local_shortage
                                               : AcquireError::connect_refused;
    ++cumulative_stats_.opened;
    ++open_count_;
    host.in_use.push_back(factory_(host, std::move(fd)));
    return host.in_use.back().get();
}

event::Fd ConnectionPool::connect(const config::Endpoint& address, int& error) {
    event::Fd fd = event::connect_to(address.ip, address.port, address.is_ipv6, error);
    const bool out_of_descriptors = !fd && (error == EMFILE || error == ENFILE);
    if (out_of_descriptors && policy_.evict_on_descriptor_shortage && evict_unused())
        fd = event::connect_to(address.ip, address.port, address.is_ipv6, error);
    return fd;
}

void ConnectionPool::release(PooledConnection& connection, bool reusable) {
    HostConnections& host = connection.host();
    const auto position = find_in(host.in_use, connection);
    if (position == host.in_use.end()) return;
    auto owned = extract_unordered(host.in_use, position);
    connection.set_unused_since(loop_.now());
    if (reusable && host.listed && connection.was_opened_to(host.address)) {
        if (connection.is_connected()) return host.idle.push_back(std::move(owned));
        if (host.pending.size() < policy_.max_pending_per_host)
            return host.pending.push_back(std::move(owned));
    }
    retire(std::move(owned));
}

// ---- unused connections ----

void ConnectionPool::on_pending_connected(PooledConnection& connection) {
    HostConnections& host = connection.host();
    const auto position = find_in(host.pending, connection);
    if (position == host.pending.end()) return;
    host.idle.push_back(extract_ordered(host.pending, position));
    connection.set_unused_since(loop_.now());
}

void ConnectionPool::drop_unused(PooledConnection& connection, DropReason reason) {
    count_drop(reason);
    remove_unused(connection);
}

void ConnectionPool::count_drop(DropReason reason) {
    if (reason == DropReason::unsolicited_bytes)
        ++cumulative_stats_.unsolicited;
    else
        ++cumulative_stats_.stale;
}

void ConnectionPool::remove_unused(PooledConnection& connection) {
    for (auto* list : {&connection.host().idle, &connection.host().pending})
        if (const auto position = find_in(*list, connection); position != list->end())
            return retire(extract_ordered(*list, position));
}

bool ConnectionPool::evict_unused() {
    HostConnections* longest_idle = nullptr;
    for (const auto& [name, host] : hosts_) {
        if (host->pending.empty()) continue;
        remove_unused(*host->pending.front());
        return true;
    }
    for (const auto& [name, host] : hosts_)
        if (!host->idle.empty() &&
            (!longest_idle ||
             host->idle.front()->unused_since() < longest_idle->idle.front()->unused_since()))
            longest_idle = host.get();
    if (!longest_idle) return false;
    remove_unused(*longest_idle->idle.front());
    return true;
}

template <class Predicate>
void ConnectionPool::close_unused(HostConnections& host, Predicate should_close) {
    for (auto* list : {&host.idle, &host.pending}) {
        for (auto& connection : *list)
            if (should_close(*connection)) retire(std::move(connection));
        std::erase(*list, nullptr);
    }
}

// A retired connection may be executing a callback, so its destruction is deferred.
void ConnectionPool::retire(std::unique_ptr<PooledConnection> connection) {
    connection->retire();
    --open_count_;
    retired_.schedule(std::move(connection));
}

// Closes unused connections at their timeouts and removes hosts that are no longer listed.
void ConnectionPool::sweep() {
    for (auto& [name, host] : hosts_)
        close_unused(*host, [&](const PooledConnection& connection) {
            const Micros timeout =
                connection.is_connected() ? policy_.idle_timeout : policy_.pending_timeout;
            return loop_.now() - connection.unused_since() >= timeout;
        });
    std::erase_if(hosts_,
                  [](const auto& entry) { return !entry.second->listed && entry.second->empty(); });
    loop_.after(policy_.sweep_interval, [this, alive = std::weak_ptr<bool>(alive_)] {
        if (!alive.expired()) sweep();
    });
}

ConnectionPool::Stats ConnectionPool::stats() const {
    Stats stats = cumulative_stats_;
    stats.open = open_count_;
    stats.hosts = hosts_.size();
    for (const auto& [name, host] : hosts_)
        stats.idle += host->idle.size();
    return stats;
}

}  // namespace silverreach::upstream
