// One HTTP/1.1 connection to a host: writes the request of an attempt or health check and reads the
// response. The states are those of upstream::PooledConnection; `receiving_body` begins when the
// head of a response has been read, whether its body is delivered or discarded.
#pragma once

#include <memory>

#include "http/parser.h"
#include "upstream/common/connection_pool.h"
#include "upstream/common/exchange_mover.h"
#include "upstream/http/attempt_callbacks.h"
#include "upstream/http/upstream_request.h"

namespace silverreach::upstream_http {

class UpstreamConnection;
using AttemptTable = upstream::AttemptTable<UpstreamConnection>;
using ExchangeMover = upstream::ExchangeMover<UpstreamRequest>;

// Shared by all connections of an Upstream; outlives them.
struct ConnectionContext {
    event::Loop& loop;
    const config::Config& config;
    AttemptCallbacks& callbacks;
    upstream::ConnectionPool& pool;
    AttemptTable& attempts;
    ExchangeMover& mover;
};

class UpstreamConnection : public upstream::PooledConnection, private http::Parser::Events {
  public:
    UpstreamConnection(ConnectionContext& context, upstream::HostConnections& host, event::Fd fd);

    // Sends the request now, or once the connection is established.
    void begin(const core::AttemptKey& key, std::shared_ptr<const UpstreamRequest> request);
    // Ends the exchange without a callback. Closes the connection unless it is resting.
    void abandon();

  private:
    void on_ready() override { write_request(); }
    void move_exchange() override;
    void on_response_bytes(std::string_view bytes) override;
    void on_remote_close() override;
    void on_exchange_error(int error) override;

    bool on_head(http::Head& head) override;
    void on_body(std::string_view bytes) override;
    void on_message_end(http::Fields& trailers) override;
    void on_fault(const http::Fault& fault) override;

    void start_connect_timer();
    void start_health_check_timer();
    void start_discard_timer();
    void write_request();
    bool report_head(Outcome outcome, const LoadReport& report, http::Head& head);
    // `has_trailing_bytes`: the host sent bytes after the response or closed its half.
    void complete_response(bool has_trailing_bytes);
    void fail(Outcome outcome);
    void release(bool reusable);

    ConnectionContext& context_;
    http::Parser parser_;
    std::shared_ptr<const UpstreamRequest> request_;
    http::Fields trailers_;
    bool deliver_body_ = false;
    bool close_after_response_ = false;
};

}  // namespace silverreach::upstream_http
