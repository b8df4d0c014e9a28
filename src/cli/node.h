// The gateway on the operators' platform: `silverreach node`. The same core and module as `serve`,
// with the platform's RESP2 towards clients and hosts, its discovery and its datagrams between
// instances.
#pragma once

#include <array>
#include <memory>
#include <string>

#include "core/request_coordinator.h"
#include "discovery/discovery_watch.h"
#include "event/loop.h"
#include "event/timer_wheel.h"
#include "frontend/resp/frontend.h"
#include "log/log.h"
#include "peers/raw_transport.h"
#include "platform/config.h"
#include "upstream/resp/upstream.h"

namespace silverreach::cli {

class Node : private core::Environment, private upstream_resp::AttemptCallbacks {
  public:
    // Throws std::runtime_error with a plain message where a socket is not to be had.
    Node(event::Loop& loop, platform::NodeConfig config, log::Log& log);
    ~Node() override;

    int port() const { return frontend_->port(); }
    // A new configuration: its discovery is followed from now on. What else differs waits for a
    // restart.
    void reload(const platform::NodeConfig& fresh);
    // Goes on serving for `notice`, while clients still come; then takes no new connection and
    // calls `done` once all that it has taken is answered. What comes meanwhile is answered within
    // `most` from now, and what comes within `notice` is still accepted. A second call changes
    // nothing.
    void drain(Micros notice, Micros most, std::function<void()> done);
    void log_counts();
    log::Fields limits() const;  // by which it runs, for the log

  private:
    // ---- core::Outside ----
    void start_timer(Micros from_now, core::Timer timer) override;
    void send_attempt(const core::AttemptKey& key, const std::string& host, Micros within) override;
    void cancel_attempt(const core::AttemptKey& key) override;
    bool withdraw_attempt(const core::AttemptKey& key) override;
    void start_health_check(const std::string& host) override;
    void send_peer_message(int rank, const std::string& bytes) override;
    void finish_request(RequestId id, const core::FinalResponse& answer) override;
    void abort_response(RequestId id) override;
    void on_attempt_blocked(const core::AttemptKey& key, const std::string& host,
                            rules::BlockReason why) override;
    // ---- upstream_resp::AttemptCallbacks ----
    std::optional<Micros> begin_send(const core::AttemptKey& key) override;
    void on_attempt_ended(const core::AttemptKey& key, const std::string& host, Micros elapsed,
                          upstream_resp::HostResponse response) override;
    void on_health_check_ended(HealthCheckEnded ended) override;

    Micros now() const { return loop_.now() + offset_; }
    void hosts_changed(const platform::TargetList& list);
    log::Fields traffic_fields() const;
    log::Fields close_fields() const;
    log::Fields rule_fields() const;
    void trace(std::string_view event, RequestId id, log::Fields fields);  // debug, of one request
    void wait_for_drain(std::function<void()> done);

    event::Loop& loop_;
    const platform::NodeConfig config_;
    log::Log& log_;
    // The core's clock is Unix time as this process found it at its start, moved on by the
    // monotonic clock: hosts' start times are in it, and it never goes back.
    const Micros offset_;
    platform::CommandValidator command_validator_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
    event::TimerWheel timers_;
    std::unique_ptr<core::RequestCoordinator> core_;
    std::unique_ptr<upstream_resp::Upstream> upstream_;
    std::unique_ptr<peers::RawTransport> peers_;
    std::unique_ptr<frontend::resp::Frontend> frontend_;
    std::unique_ptr<discovery::DiscoveryWatch> discovery_watch_;
    bool draining_ = false;
    std::array<std::uint64_t, 7> refused_{};  // by RefuseReason
    std::array<std::uint64_t, 8> ended_{};    // attempts, by Outcome
};

}  // namespace silverreach::cli
