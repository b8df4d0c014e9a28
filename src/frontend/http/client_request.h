// A client request, from its head to the end of its response. No I/O.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "core/client_request.h"
#include "frontend/http/frontend_context.h"
#include "frontend/http/message_translation.h"
#include "frontend/http/request_resolver.h"
#include "frontend/http/response_writer.h"
#include "upstream/http/upstream.h"

namespace silverreach::frontend::http {

struct ClientRequest {
    std::shared_ptr<const openapi::Description> description;  // resolved points into it
    wire::Head head;
    ResolvedRequest resolved;
    RequestIdentity identity;
    std::string body;
    bool body_complete = false;
    Micros received_at{0};  // arrival of its first byte, on the loop's clock
    RequestId id = 0;       // in the core; 0: not passed to the core yet
    std::shared_ptr<const upstream_http::UpstreamRequest> upstream;
    ClientCapabilities client;
    ResponseWriter response;
    int response_status = 0;  // of the host; 0: none received yet
};

// Why the front end answers a request without passing it to the core.
struct LocalRejection {
    RequestError error;
    std::string_view log_reason;
};

// Creates the state of a request; moves from `head`.
std::unique_ptr<ClientRequest> make_client_request(wire::Head& head, Micros received_at,
                                                   FrontendContext& context);
// Resolves the request. Returns the reason if the request is rejected.
std::optional<LocalRejection> check_request(ClientRequest& request, const FrontendContext& context);
// Whether the client waits for a 100 (Continue) response before it sends the body.
bool expects_continue(const wire::Head& head);

std::size_t max_body_bytes(const FrontendContext& context);
RequestError body_too_large(const FrontendContext& context);

// Returns the request for hosts and moves the body into it. `client_address`: without a port.
std::shared_ptr<const upstream_http::UpstreamRequest> make_upstream_request(
    ClientRequest& request, const std::string& client_address, const std::string& via);
// Returns the request for the core.
core::ClientRequest make_core_request(const ClientRequest& request,
                                      const std::string& client_address,
                                      const FrontendContext& context, Micros now);
// `status` 0: no response was sent.
AccessLogEntry make_access_log_entry(const ClientRequest& request,
                                     const std::string& client_address, int status,
                                     std::string_view reason, Micros now);

}  // namespace silverreach::frontend::http
