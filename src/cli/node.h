// The gateway on the operators' platform (`silverreach node`). It uses the same core and decision
// engine as `serve`, with the platform's RESP2 protocol to clients and hosts, its discovery and its
// datagrams between instances.
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

// Used on the loop's thread. `loop` and `log` must outlive it.
class Node : private core::Environment, private upstream_resp::AttemptCallbacks {
  public:
    // Throws std::runtime_error if a socket cannot be opened.
    Node(event::Loop& loop, platform::NodeConfig config, log::Log& log);
    ~Node() override;

    // Bytes of commands that wait for their responses, and of unread responses.
    std::size_t in_hand_bytes() const { return frontend_->in_hand_bytes(); }
    int port() const { return frontend_->port(); }
    // Switches to the discovery service of the new configuration. Other changes need a restart.
    void reload(const platform::NodeConfig& new_config);
    // Continues to serve for the duration `notice`, during which clients may still connect, then
    // stops listening and calls `done` once every connection has ended. Requests on open
    // connections are answered if they are received within `request_window` from now. Further calls
    // have no effect.
    void drain(Micros notice, Micros request_window, std::function<void()> done);
    void log_counts();
    log::Fields limit_fields() const;  // of the configuration, for the log

  private:
    // ---- core::Environment ----
    void start_timer(Micros delay, core::Timer timer) override;
    void send_attempt(const core::AttemptKey& key, const std::string& host,
                      Micros timeout) override;
    void cancel_attempt(const core::AttemptKey& key) override;
    bool withdraw_attempt(const core::AttemptKey& key) override;
    void start_health_check(const std::string& host) override;
    void send_peer_message(int rank, const std::string& bytes) override;
    void finish_request(RequestId id, const core::FinalResponse& response) override;
    void abort_response(RequestId id) override;
    void on_attempt_blocked(const core::AttemptKey& key, const std::string& host,
                            rules::BlockReason reason) override;
    // ---- upstream_resp::AttemptCallbacks ----
    std::optional<Micros> begin_send(const core::AttemptKey& key) override;
    void on_attempt_ended(const core::AttemptKey& key, const std::string& host, Micros elapsed,
                          upstream_resp::HostResponse response) override;
    void on_health_check_ended(HealthCheckEnded ended) override;

    Micros now() const { return loop_.now() + unix_offset_; }
    void on_hosts_changed(const platform::TargetList& list);
    log::Fields traffic_fields() const;
    log::Fields close_fields() const;
    log::Fields rule_fields() const;
    // Logs an event of one request at level debug.
    void log_request_event(std::string_view event, RequestId id, log::Fields fields);
    void wait_for_drain(std::function<void()> done);

    event::Loop& loop_;
    const platform::NodeConfig config_;
    log::Log& log_;
    // Offset of the core's clock from the monotonic clock. The core's clock is Unix time at the
    // start of the process, advanced by the monotonic clock: hosts' start times are in Unix time,
    // and the core's clock must not go back.
    const Micros unix_offset_;
    platform::CommandValidator command_validator_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
    event::TimerWheel timers_;
    std::unique_ptr<core::RequestCoordinator> core_;
    std::unique_ptr<upstream_resp::Upstream> upstream_;
    std::unique_ptr<peers::RawTransport> peers_;
    std::unique_ptr<frontend::resp::Frontend> frontend_;
    std::unique_ptr<discovery::DiscoveryWatch> discovery_watch_;
    bool draining_ = false;
    std::array<std::uint64_t, 7> rejections_{};      // rejected requests, by RejectReason
    std::array<std::uint64_t, 8> ended_attempts_{};  // attempts that ended, by Outcome
};

}  // namespace silverreach::cli
