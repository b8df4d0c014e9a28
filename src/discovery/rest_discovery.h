// Polls a discovery service for the endpoint list: xDS v3 over REST-JSON, on one persistent
// connection. A lost connection is reopened at the next poll.
//
//   idle               -> awaiting_response   at each poll interval
//   awaiting_response  -> idle                on a response, a lost connection, or the first poll
//                                             after the response timeout
#pragma once

#include <memory>
#include <string>

#include "discovery/endpoint_list_updater.h"
#include "event/stream.h"
#include "http/parser.h"

namespace silverreach::discovery {

class RestDiscovery : public EndpointDiscovery,
                      private event::StreamOwner,
                      private http::Parser::Events {
  public:
    // Sends the first request before the constructor returns. `loop` and `config` must outlive
    // this.
    RestDiscovery(event::Loop& loop, const config::Config& config,
                  EndpointDiscoveryCallbacks callbacks);

  private:
    enum class State {
        idle,
        awaiting_response
    };
    // ---- event::StreamOwner ----
    void on_data(std::string_view bytes) override;
    void on_end() override;
    void on_broken(int error) override;
    // ---- http::Parser::Events ----
    bool on_head(http::Head& head) override;
    void on_body(std::string_view bytes) override;
    void on_message_end(http::Fields&) override {}
    void on_fault(const http::Fault& fault) override;

    void poll();
    void schedule_poll();
    bool connect();
    void send_request();
    std::string request_body() const;
    void on_response();
    void on_failure(DiscoveryErrorCode code, std::string detail);

    event::Loop& loop_;
    const config::Config& config_;
    config::Endpoint service_;
    EndpointListUpdater updater_;
    http::Parser parser_;
    std::unique_ptr<event::Stream> stream_;
    // A stream may be lost within its own callback, so it is destroyed before the next request
    // instead.
    std::unique_ptr<event::Stream> retired_stream_;
    State state_ = State::idle;
    Micros requested_at_{0};
    int status_ = 0;
    bool keep_alive_ = true;
    std::string body_;
    bool failure_reported_ = false;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace silverreach::discovery
