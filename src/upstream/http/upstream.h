// Sends attempts and health checks to HTTP hosts, each on a separate connection from the pool. The
// core decides to which host an attempt is sent, when, and how often.
#pragma once

#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "upstream/http/attempt_callbacks.h"
#include "upstream/http/upstream_connection.h"
#include "upstream/http/upstream_request.h"

namespace silverreach::upstream_http {

// Runs on the loop's thread. `loop`, `config` and `callbacks` outlive it.
class Upstream : private ExchangeMover {
  public:
    using Stats = upstream::ConnectionPool::Stats;

    Upstream(event::Loop& loop, const config::Config& config, AttemptCallbacks& callbacks);

    // `host` is an address as in the endpoint list. The attempt may end within the call.
    void send(const core::AttemptKey& key, const std::string& host,
              std::shared_ptr<const UpstreamRequest> request);
    // Ends the attempt and closes its connection; no callback follows.
    void cancel(const core::AttemptKey& key);
    // Cancels an attempt whose request has not been sent completely. Returns false if it has been
    // sent or the attempt is not known.
    bool withdraw(const core::AttemptKey& key);
    // Back pressure: pauses or resumes reading the response of an attempt.
    void set_reading(const core::AttemptKey& key, bool enabled);
    void start_health_check(const std::string& host);
    // `hosts` is the complete endpoint list. Closes unused connections to hosts that are not
    // available; connections in use are closed when their attempts end.
    void update_hosts(const std::vector<EndpointEntry>& hosts);

    Stats stats() const { return pool_.stats(); }

  private:
    void move_exchange(const core::AttemptKey& key, const std::string& host,
                       std::shared_ptr<const UpstreamRequest> request) override;
    std::variant<upstream::PooledConnection*, upstream::AcquireError> acquire(
        const std::string& host, const upstream::ExchangeTraits& traits);

    const config::Config& config_;
    AttemptCallbacks& callbacks_;
    AttemptTable attempts_;
    upstream::ConnectionPool pool_;
    ConnectionContext context_;
};

}  // namespace silverreach::upstream_http
