// Sends attempts and health checks to HTTP hosts, each on a connection of its own from the pool.
// Which host, when and how often is decided by the core.
#pragma once

#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "upstream/http/attempt_callbacks.h"
#include "upstream/http/out_request.h"
#include "upstream/http/upstream_connection.h"

namespace silverreach::upstream_http {

// Runs on the loop's thread. `loop`, `config` and `callbacks` outlive it.
class Upstream {
  public:
    using Stats = upstream::ConnectionPool::Stats;

    Upstream(event::Loop& loop, const config::Config& config, AttemptCallbacks& callbacks);

    // `host`: an address as in the endpoint list. The attempt may end within the call.
    void send(const core::AttemptKey& key, const std::string& host,
              std::shared_ptr<const OutRequest> request);
    // Closes the attempt's connection; no callback follows.
    void cancel(const core::AttemptKey& key);
    // Cancels an attempt whose request has not been sent completely. False where it has, or where
    // the attempt is not known.
    bool withdraw(const core::AttemptKey& key);
    // Back pressure: stops or resumes reading the response of an attempt.
    void set_reading(const core::AttemptKey& key, bool enabled);
    void start_health_check(const std::string& host);
    // `hosts` is the complete endpoint list. Idle connections to hosts that are not available are
    // closed; those in use end with their attempts.
    void update_hosts(const std::vector<EndpointEntry>& hosts);

    Stats stats() const { return pool_.stats(); }

  private:
    std::variant<upstream::PooledConnection*, upstream::AcquireError> acquire(
        const std::string& host, const upstream::ExchangeTraits& traits);

    const config::Config& config_;
    AttemptCallbacks& callbacks_;
    AttemptTable attempts_;
    upstream::ConnectionPool pool_;
    ConnectionContext context_;
};

}  // namespace silverreach::upstream_http
