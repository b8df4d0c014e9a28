// Sends attempts and health checks to the platform's RESP hosts, each on a separate connection from
// the pool. The core decides to which host an attempt is sent, when, and how often.
//
// A response counts only once it is complete and well-formed. A response that is malformed, or that
// stalls before it is complete, ends the attempt as failed although the request may have run, and
// its connection is closed. A connection on which bytes follow the response is not reused.
#pragma once

#include <memory>
#include <string>

#include "platform/targets.h"
#include "upstream/resp/upstream_connection.h"

namespace silverreach::upstream_resp {

// Runs on the loop's thread. `loop` and `callbacks` outlive it.
class Upstream : private ExchangeMover {
  public:
    struct Stats {
        upstream::ConnectionPool::Stats connections;
        ResponseCounters responses;
    };

    Upstream(event::Loop& loop, UpstreamLimits limits, AttemptCallbacks& callbacks);

    // `host` is the host's uid in discovery. The attempt may end within the call.
    void send(const core::AttemptKey& key, const std::string& host,
              std::shared_ptr<const platform::UpstreamCommand> command);
    // Ends the attempt; no callback follows. Closes the connection if it is established.
    void cancel(const core::AttemptKey& key);
    // Cancels an attempt whose command has not been sent completely. Returns false if it has been
    // sent or the attempt is not known.
    bool withdraw(const core::AttemptKey& key);
    void start_health_check(const std::string& host);
    // Closes an unused connection; returns false if there is none.
    bool evict_unused() { return pool_.evict_unused(); }
    // Updates the hosts and their addresses. A connection belongs to the uid and the address to
    // which it was opened. Closes unused connections to hosts that are not available or have a new
    // address.
    void update_hosts(const platform::TargetList& list);
    // Ends attempts as `not_started` whose commands have not been sent completely and whose hosts
    // are no longer available. Called after the core has received the change, so that it does not
    // choose the same host again.
    void end_unsent_to_unlisted();

    Stats stats() const { return {pool_.stats(), counters_}; }

  private:
    void move_exchange(const core::AttemptKey& key, const std::string& host,
                       std::shared_ptr<const platform::UpstreamCommand> command) override;

    const UpstreamLimits limits_;
    AttemptCallbacks& callbacks_;
    ResponseCounters counters_;
    event::BufferBudget buffer_budget_;
    AttemptTable attempts_;
    upstream::ConnectionPool pool_;
    ConnectionContext context_;
};

}  // namespace silverreach::upstream_resp
