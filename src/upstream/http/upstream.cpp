#include "upstream/http/upstream.h"

#include <chrono>
#include <utility>

#include "upstream/http/health_check.h"

namespace silverreach::upstream_http {
namespace {
using namespace std::chrono_literals;

// HTTP hosts are few, so that some more connections to each cost little.
constexpr std::size_t max_resting_per_host = 8;

upstream::PoolPolicy pool_policy(const config::Config& config) {
    upstream::PoolPolicy policy;
    policy.max_in_use_per_host = static_cast<std::size_t>(config.hosts().max_connections());
    policy.idle_timeout = std::chrono::milliseconds(config.hosts().idle_ms());
    policy.sweep_interval = 1s;
    policy.reuse = upstream::default_reuse;
    policy.reuse.max_resting_to_open = max_resting_per_host;
    return policy;
}
}  // namespace

Upstream::Upstream(event::Loop& loop, const config::Config& config, AttemptCallbacks& callbacks)
    : config_(config),
      callbacks_(callbacks),
      pool_(loop, pool_policy(config),
            [this](upstream::HostConnections& host, event::Fd fd) {
                return std::make_unique<UpstreamConnection>(context_, host, std::move(fd));
            }),
      context_{loop, config, callbacks, pool_, attempts_, *this} {}

void Upstream::send(const core::AttemptKey& key, const std::string& host,
                    std::shared_ptr<const UpstreamRequest> request) {
    const auto acquired = acquire(host, {});
    if (const auto* error = std::get_if<upstream::AcquireError>(&acquired))
        return callbacks_.on_attempt_ended(key, host, upstream::outcome_of(*error), 0us, {}, 0);
    auto& connection =
        static_cast<UpstreamConnection&>(*std::get<upstream::PooledConnection*>(acquired));
    attempts_.insert(key, connection);
    connection.begin(key, std::move(request));
}

// The core may choose a host before update_hosts() has received the list that contains it.
std::variant<upstream::PooledConnection*, upstream::AcquireError> Upstream::acquire(
    const std::string& host, const upstream::ExchangeTraits& traits) {
    if (!pool_.has_host(host)) pool_.add_host(host, config::parse_endpoint(host));
    return pool_.acquire(host, traits);
}

void Upstream::move_exchange(const core::AttemptKey& key, const std::string& host,
                             std::shared_ptr<const UpstreamRequest> request) {
    if (key == upstream::health_check_key) return start_health_check(host);
    send(key, host, std::move(request));
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

void Upstream::set_reading(const core::AttemptKey& key, bool enabled) {
    if (UpstreamConnection* connection = attempts_.find(key))
        connection->stream().set_reading(enabled);
}

void Upstream::start_health_check(const std::string& host) {
    const auto acquired = acquire(host, {.idempotent = true, .health_check = true});
    if (const auto* error = std::get_if<upstream::AcquireError>(&acquired))
        return callbacks_.on_health_check_ended({host, upstream::outcome_of(*error), 0us, {}});
    auto& connection =
        static_cast<UpstreamConnection&>(*std::get<upstream::PooledConnection*>(acquired));
    connection.begin(upstream::health_check_key,
                     health_check_request(config_.hosts().probe_path(), host));
}

void Upstream::update_hosts(const std::vector<EndpointEntry>& hosts) {
    std::vector<upstream::HostUpdate> updates;
    for (const EndpointEntry& host : hosts)
        if (host.status == EndpointStatus::available)
            updates.push_back({host.id, true, config::parse_endpoint(host.id)});
    pool_.update_hosts(true, updates);
}

}  // namespace silverreach::upstream_http
