// The HTTP front end: manages client connections, passes each complete request to the core and
// writes the responses. It decides itself only whether messages are valid.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "frontend/common/connection_manager.h"
#include "frontend/http/frontend_context.h"
#include "frontend/http/response_writer.h"
#include "upstream/http/upstream.h"

namespace silverreach::frontend::http {

// Used on the loop's thread.
class Frontend {
  public:
    // All arguments but `callbacks` must outlive the front end. Throws event::SystemError if it
    // cannot listen on the address of `config`.
    Frontend(event::Loop& loop, const config::Config& config, config::KeyIndex& accounts,
             core::RequestCoordinator& core, FrontendCallbacks callbacks);

    int port() const { return connections_.port(); }
    // Stops listening. From now on, connections close once their pending responses are sent.
    void start_draining() { connections_.start_draining(Micros::max()); }
    // Whether draining must continue: the listener is open, a response is not sent completely, or
    // a client has sent bytes that have not been read.
    bool has_unfinished_work() const;
    std::size_t connections() const { return connections_.size(); }
    std::uint64_t closed_with_unsent_bytes() const { return context_.closed_with_unsent_bytes; }
    std::uint64_t buffer_limit_reached() const { return context_.buffer_limit_reached; }
    std::size_t buffered_bytes() const { return context_.buffer_budget.used_bytes(); }
    std::size_t in_flight() const { return context_.in_flight.size(); }

    // ---- requests; an id that is not in flight is ignored ----
    // Returns the request for hosts; nullptr if it is not in flight.
    std::shared_ptr<const upstream_http::UpstreamRequest> upstream_request(RequestId id) const;
    // Called before an attempt is sent. Abandons the request if the client has closed its side.
    void check_client_connected(RequestId id);
    // Sends the response for a rejection or failure.
    void finish(RequestId id, const core::FinalResponse& response);
    // Aborts a response that is being streamed.
    void abort(RequestId id);
    // Forward a host's response: start, then the body in pieces, then the end. `head` may be
    // changed.
    void start_response(RequestId id, wire::Head& head, ResponseWriter::PauseHost pause_host);
    void append_body(RequestId id, std::string_view bytes);
    // `complete`: if false, the client's connection is reset.
    void end_response(RequestId id, bool complete, const wire::Fields& trailers);

  private:
    HttpConnection* find(RequestId id) const;

    FrontendContext context_;
    ConnectionManager connections_;
};

}  // namespace silverreach::frontend::http
