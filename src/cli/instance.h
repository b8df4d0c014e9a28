// One HTTP gateway: owns its parts and connects the core to them.
#pragma once

#include <memory>
#include <optional>
#include <string>

#include "cli/files.h"
#include "config/config.h"
#include "core/request_coordinator.h"
#include "discovery/endpoint_discovery.h"
#include "event/background_task.h"
#include "event/loop.h"
#include "event/timer_wheel.h"
#include "frontend/http/frontend.h"
#include "log/log.h"
#include "peers/envelope_transport.h"
#include "registry/key_index.h"
#include "upstream/http/upstream.h"

namespace silverreach::cli {

// Used on the loop's thread. `loop`, `config` and `log` must outlive it.
class Instance : private core::Environment, private upstream_http::AttemptCallbacks {
  public:
    // Relative paths in the configuration are relative to `folder`. Throws std::runtime_error if a
    // socket cannot be opened, or a file or the API description cannot be loaded.
    Instance(event::Loop& loop, const config::Config& config, std::string folder, log::Log& log);
    ~Instance() override;

    // Bytes that clients make it hold, as counted against listen.max_buffered_bytes.
    std::size_t buffered_bytes() const { return frontend_->buffered_bytes(); }
    int port() const { return frontend_->port(); }
    // Reloads the API description on a background thread. If it is invalid, all its errors are
    // logged and the current one stays in use. `done`, if set, receives whether the new one is in
    // use. A call during a reload gets false and starts another reload after it.
    void reload(std::function<void(bool)> done = {});
    // Stops listening and calls `done` once the requests in flight have ended, after `timeout` at
    // the latest.
    void drain(Micros timeout, std::function<void()> done);
    void log_counts();

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
    // ---- upstream_http::AttemptCallbacks ----
    bool begin_send(const core::AttemptKey& key) override;
    bool on_response_started(const core::AttemptKey& key, const std::string& host, Micros elapsed,
                             const LoadReport& report, http::Head& head) override;
    void on_response_body(const core::AttemptKey& key, std::string_view bytes) override;
    void on_response_ended(const core::AttemptKey& key, bool complete,
                           const http::Fields& trailers) override;
    void on_attempt_ended(const core::AttemptKey& key, const std::string& host, Outcome outcome,
                          Micros elapsed, const LoadReport& report, int status) override;
    void on_health_check_ended(HealthCheckEnded ended) override;

    // Returns nullptr, with problems appended, where the description is invalid. Does not throw,
    // because reload() calls it on the background thread.
    std::shared_ptr<const openapi::Description> read_description(
        std::vector<openapi::Problem>& problems) const;
    bool apply_description(std::shared_ptr<const openapi::Description> new_description,
                           const std::vector<openapi::Problem>& problems);
    void log_access(const frontend::http::AccessLogEntry& entry);
    void on_hosts_changed(std::vector<EndpointEntry> hosts);
    void wait_for_drain(Micros deadline, std::function<void()> done);

    event::Loop& loop_;
    const config::Config& config_;
    std::string folder_;
    log::Log& log_;
    std::unique_ptr<config::KeyIndex> key_index_;
    std::shared_ptr<const openapi::Description> description_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
    event::TimerWheel timers_;
    event::BackgroundTask background_;
    bool reload_pending_ = false;
    std::unique_ptr<core::RequestCoordinator> core_;
    std::unique_ptr<upstream_http::Upstream> upstream_;
    std::unique_ptr<peers::EnvelopeTransport> peers_;
    std::unique_ptr<frontend::http::Frontend> frontend_;
    std::unique_ptr<discovery::EndpointDiscovery> discovery_;
};

}  // namespace silverreach::cli
