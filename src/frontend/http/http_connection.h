// One HTTP client's connection, which handles one request at a time in the order of arrival.
//
// States:   reading_head -> reading_body -> awaiting_response -> streaming_response -> reading_head
//           after a response that ends the connection:   -> lingering -> closed
//           once the client has disconnected:            -> abandoned -> closed
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "frontend/common/client_connection.h"
#include "frontend/http/client_request.h"
#include "frontend/http/frontend_context.h"
#include "frontend/http/local_reply.h"
#include "frontend/http/response_writer.h"
#include "http/parser.h"
#include "upstream/http/upstream.h"

namespace silverreach::frontend::http {

class HttpConnection final : public ClientConnection, private wire::Parser::Events {
  public:
    // `context` must outlive the connection; `client_address`: its address.
    HttpConnection(FrontendContext& context, ConnectionManager& manager, event::Fd fd,
                   std::string client_address, Micros waiting_since);
    // Resets a connection whose response is not sent completely.
    ~HttpConnection() override;

    // ---- operations on the request in flight (see Frontend); ignored in other states ----
    std::shared_ptr<const upstream_http::UpstreamRequest> upstream_request() const;
    void check_client_connected();
    void finish(const core::FinalResponse& response);
    void start_response(wire::Head& head, ResponseWriter::PauseHost pause_host);
    void append_body(std::string_view bytes);
    void end_response(const wire::Fields& trailers);
    // Aborts the response by resetting the connection, so that the client cannot take the response
    // for complete. `reason`: for the access log.
    void abort_response(std::string_view reason);

    // Whether a response is not sent completely, or input has not been read.
    bool has_unfinished_work() const;

    std::size_t droppable_bytes(const event::BufferBudget& budget) const override;
    void drop(const event::BufferBudget& budget) override;

    void on_data(std::string_view bytes) override;
    void on_end() override;
    void on_error(int error) override;
    void on_drained() override;

  private:
    enum class State {
        reading_head,  // or between requests
        reading_body,
        awaiting_response,
        streaming_response,
        lingering,  // the last response is sent, or queued; further input is discarded
        abandoned,  // the client has disconnected; its request is being cancelled
        closed
    };
    std::optional<PendingWait> pending_wait(Wait wait) const override;
    bool on_wait_expired(Wait wait) override;
    void check_timeouts_periodically();

    // ---- wire::Parser::Events ----
    bool on_head(wire::Head& head) override;
    void on_body(std::string_view bytes) override;
    void on_message_end(wire::Fields& trailers) override;
    void on_fault(const wire::Fault& fault) override;

    // ---- requests ----
    bool is_reading() const {
        return state_ == State::reading_head || state_ == State::reading_body;
    }
    bool is_receiving() const;  // a request has begun and is not complete
    bool accepts_input() const { return state_ != State::lingering && state_ != State::closed; }
    std::size_t feed_parser(std::string_view bytes);
    void process_pending();
    void forward_if_complete();
    void forward_request();
    // Whether the client has to read responses before its next request is handled.
    bool must_defer_requests() const;

    // ---- buffers ----
    std::size_t input_bytes() const;
    void update_buffered() override;

    // ---- responses and closing ----
    void reply_locally(const LocalReply& reply, std::string_view log_reason);
    bool is_last_response() const;
    void finish_exchange();  // -> reading_head or lingering
    void linger();           // -> lingering
    void abandon_request();  // -> abandoned, if a request is in flight
    void disconnect();       // -> abandoned -> closed
    bool answers_half_closed() const;
    void close();  // -> closed
    void log_access(int status, std::string_view reason);

    FrontendContext& context_;
    wire::Parser parser_;
    std::string client_address_;
    State state_ = State::reading_head;
    std::string pending_input_;  // bytes of later requests
    event::BufferBudget::Reservation buffered_;
    bool half_closed_ = false;  // by the client
    // Allocated separately so that an idle connection stays small.
    std::unique_ptr<ClientRequest> request_;
};

}  // namespace silverreach::frontend::http
