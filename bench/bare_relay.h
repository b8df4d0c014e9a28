// An HTTP relay with the event loop, parser and upstream of the gateway but without decisions. The
// difference to the gateway is the cost of the decisions.
#pragma once

#include <memory>
#include <string>
#include <unordered_map>

#include "event/listener.h"
#include "frontend/http/message_translation.h"
#include "upstream/http/upstream.h"

namespace silverreach::bench {

class BareRelay : private upstream_http::AttemptCallbacks {
  public:
    BareRelay(event::Loop& loop, const config::Config& config, std::vector<std::string> hosts);
    ~BareRelay();
    int port() const { return listener_->port(); }

  private:
    struct Connection;
    bool begin_send(const core::AttemptKey&) override { return true; }
    bool on_response_started(const core::AttemptKey& key, const std::string&, Micros,
                             const LoadReport&, http::Head& head) override;
    void on_response_body(const core::AttemptKey& key, std::string_view bytes) override;
    void on_response_ended(const core::AttemptKey& key, bool is_complete,
                           const http::Fields&) override;
    void on_attempt_ended(const core::AttemptKey& key, const std::string&, Outcome, Micros,
                          const LoadReport&, int) override;
    void on_health_check_ended(HealthCheckEnded) override {}
    event::Loop& loop_;
    std::vector<std::string> hosts_;
    std::unique_ptr<upstream_http::Upstream> upstream_;
    std::unordered_map<RequestId, Connection*> connections_by_request_;
    std::unordered_map<Connection*, std::unique_ptr<Connection>> connections_;
    RequestId next_request_id_ = 1;
    std::unique_ptr<event::Listener> listener_;
};

}  // namespace silverreach::bench
