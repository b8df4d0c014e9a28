// The HTTP front end: clients' connections, requests in and responses out. It hands each complete
// request to the core and writes what comes back; its own decisions are on the form of messages.
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
    // All but `callbacks` must outlive the front end. Throws event::SystemError where the address
    // of `config` cannot be listened on.
    Frontend(event::Loop& loop, const config::Config& config, config::AccountBook& accounts,
             core::RequestCoordinator& core, FrontendCallbacks callbacks);

    int port() const { return connections_.port(); }
    // Stops listening; from now on connections end with the responses that they are owed.
    void start_draining() { connections_.start_draining(Micros::max()); }
    // Whether draining is not over: the listener is still open, or a client is owed a response or
    // the rest of one, or has sent what was not read.
    bool has_unfinished_work() const;
    std::size_t connections() const { return connections_.size(); }
    std::size_t in_flight() const { return context_.in_flight.size(); }

    // ---- requests; an id that is not in flight is ignored ----
    // As it goes to hosts; nullptr: not in flight.
    std::shared_ptr<const upstream_http::UpstreamRequest> upstream_request(RequestId id) const;
    // Before an attempt is sent: abandons the request if the client has closed its side.
    void check_client_connected(RequestId id);
    // Sends a rejection or failure.
    void finish(RequestId id, const core::FinalResponse& response);
    // Breaks off a response that is being streamed.
    void abort(RequestId id);
    // A host's response: start, then body in pieces, then the end. `head` may be changed.
    void start_response(RequestId id, wire::Head& head, ResponseWriter::PauseHost pause_host);
    void append_body(RequestId id, std::string_view bytes);
    // `complete`: else the client's connection is broken off.
    void end_response(RequestId id, bool complete, const wire::Fields& trailers);

  private:
    HttpConnection* find(RequestId id) const;

    FrontendContext context_;
    ConnectionManager connections_;
};

}  // namespace silverreach::frontend::http
