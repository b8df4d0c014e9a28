// Sends attempts and health checks to the platform's RESP hosts, each on a connection of its own
// from the pool. Which host, when and how often is decided by the core.
//
// A response counts only once it is complete and well-formed. One that is malformed, or begun and
// then stalled, is a failed attempt that may have run, and its connection is closed. A connection
// that sends more than its response is not used again.
#pragma once

#include <memory>
#include <string>

#include "platform/targets.h"
#include "upstream/resp/upstream_connection.h"

namespace silverreach::upstream_resp {

// Runs on the loop's thread. `loop` and `callbacks` outlive it.
class Upstream {
  public:
    struct Stats {
        upstream::ConnectionPool::Stats connections;
        ResponseCounters responses;
    };

    Upstream(event::Loop& loop, UpstreamLimits limits, AttemptCallbacks& callbacks);

    // `host`: the uid in discovery. The attempt may end within the call.
    void send(const core::AttemptKey& key, const std::string& host,
              std::shared_ptr<const platform::UpstreamCommand> command);
    // Ends the attempt; no callback follows. Its connection is closed unless it is not up yet.
    void cancel(const core::AttemptKey& key);
    // Cancels an attempt whose command has not been sent completely. False where it has, or where
    // the attempt is not known.
    bool withdraw(const core::AttemptKey& key);
    void start_health_check(const std::string& host);
    // Closes an unused connection; false where there is none.
    bool evict_unused() { return pool_.evict_unused(); }
    // Where hosts listen. A connection belongs to the uid and the address at which it was opened;
    // unused ones to hosts that are not ready, or have moved, are closed.
    void update_hosts(const platform::TargetList& list);
    // Ends attempts as `not_started` that have not been sent to hosts that are not ready any more.
    // Called once the core knows of the change too, so that it does not choose the same host again.
    void return_unsent_to_unlisted();

    Stats stats() const { return {pool_.stats(), counters_}; }

  private:
    const UpstreamLimits limits_;
    AttemptCallbacks& callbacks_;
    ResponseCounters counters_;
    std::size_t buffered_bytes_ = 0;
    AttemptTable attempts_;
    upstream::ConnectionPool pool_;
    ConnectionContext context_;
};

}  // namespace silverreach::upstream_resp
