// Responses that the gateway generates itself, without a host. No I/O.
#pragma once

#include <string>
#include <string_view>

#include "core/client_request.h"
#include "frontend/http/message_translation.h"
#include "frontend/http/request_resolver.h"

namespace silverreach::frontend::http {

// A status with a problem document (RFC 9457).
struct LocalReply {
    int status = 500;
    std::string type;  // of the problem, under urn:silverreach:reason; empty: about:blank
    std::string title;
    std::string detail;
    Micros retry_after{0};     // shown with 429, 503 and 504 only
    std::string extra_fields;  // complete lines with CR LF
};
LocalReply local_reply(const core::FinalResponse& response);
LocalReply local_reply(const RequestError& error);
// Returns the name that the problem's type and the log use.
std::string_view to_string(RejectReason reason);

// Returns the complete message, without a body if the request was a HEAD.
std::string serialize(const LocalReply& reply, const ClientCapabilities& client,
                      const std::string& request_id);

}  // namespace silverreach::frontend::http
