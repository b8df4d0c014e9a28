#include "upstream/resp/upstream.h"

#include <chrono>
#include <utility>
#include <vector>

#include "upstream/resp/health_check.h"

namespace silverreach::upstream_resp {
namespace {
using namespace std::chrono_literals;
// A handshake that takes longer than its attempt continues and serves a later attempt. Otherwise
// each slow handshake would cost an attempt and another handshake.
constexpr Micros pending_timeout = 2s;
constexpr std::size_t max_pending_per_host = 2;
constexpr Micros sweep_interval = 500ms;

upstream::PoolPolicy pool_policy(const UpstreamLimits& limits) {
    upstream::PoolPolicy policy;
    policy.max_connections = limits.max_connections;
    policy.evict_on_descriptor_shortage = true;
    policy.max_pending_per_host = max_pending_per_host;
    policy.idle_timeout = limits.idle_timeout;
    policy.pending_timeout = pending_timeout;
    policy.reuse = limits.reuse;
    policy.reuse.non_idempotent_limit = limits.non_idempotent_reuse_limit;
    policy.sweep_interval = sweep_interval;
    return policy;
}
}  // namespace

Upstream::Upstream(event::Loop& loop, UpstreamLimits limits, AttemptCallbacks& callbacks)
    : limits_(limits),
      callbacks_(callbacks),
      buffer_budget_(limits.max_buffered_bytes),
      pool_(loop, pool_policy(limits),
            [this](upstream::HostConnections& host, event::Fd fd) {
                return std::make_unique<UpstreamConnection>(context_, host, std::move(fd));
            }),
      context_{loop, limits_, callbacks, pool_, attempts_, counters_, buffer_budget_, *this} {}

void Upstream::send(const core::AttemptKey& key, const std::string& host,
                    std::shared_ptr<const platform::UpstreamCommand> command) {
    const auto acquired = pool_.acquire(host, {.idempotent = command->is_idempotent});
    if (const auto* error = std::get_if<upstream::AcquireError>(&acquired)) {
        HostResponse response;
        response.outcome = upstream::outcome_of(*error);
        return callbacks_.on_attempt_ended(key, host, 0us, std::move(response));
    }
    auto& connection =
        static_cast<UpstreamConnection&>(*std::get<upstream::PooledConnection*>(acquired));
    attempts_.insert(key, connection);
    connection.begin_attempt(key, std::move(command));
}

void Upstream::move_exchange(const core::AttemptKey& key, const std::string& host,
                             std::shared_ptr<const platform::UpstreamCommand> command) {
    if (key == upstream::health_check_key) return start_health_check(host);
    send(key, host, std::move(command));
}

void Upstream::cancel(const core::AttemptKey& key) {
    if (UpstreamConnection* connection = attempts_.find(key)) connection->abandon();
}

bool Upstream::withdraw(const core::AttemptKey& key) {
    UpstreamConnection* connection = attempts_.find(key);
    if (!connection || connection->request_sent()) return false;
    connection->abandon();
    return true;
}

void Upstream::start_health_check(const std::string& host) {
    const auto acquired = pool_.acquire(host, {.idempotent = true, .health_check = true});
    if (const auto* error = std::get_if<upstream::AcquireError>(&acquired))
        return callbacks_.on_health_check_ended({host, upstream::outcome_of(*error), 0us, {}});
    auto& connection =
        static_cast<UpstreamConnection&>(*std::get<upstream::PooledConnection*>(acquired));
    connection.begin_health_check(health_check_command(limits_.request_load_report));
}

void Upstream::update_hosts(const platform::TargetList& list) {
    std::vector<upstream::HostUpdate> updates;
    for (const platform::Target& target : list.targets)
        updates.push_back(
            {target.entry.id, target.entry.status == EndpointStatus::available, target.endpoint});
    pool_.update_hosts(list.complete, updates);
}

void Upstream::end_unsent_to_unlisted() {
    // Collected first, because ending an attempt may change the pool.
    std::vector<core::AttemptKey> unsent;
    pool_.for_each_in_use([&](upstream::PooledConnection& connection) {
        if (connection.host().listed || connection.is_health_check()) return;
        if (!connection.request_sent()) unsent.push_back(connection.key());
    });
    for (const core::AttemptKey& key : unsent)
        if (UpstreamConnection* connection = attempts_.find(key)) connection->end_unsent();
}

}  // namespace silverreach::upstream_resp
