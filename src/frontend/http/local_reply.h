// Responses that come from the gateway itself, not from a host. No I/O.
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
    std::string extra_fields;  // each line with its end
};
LocalReply local_reply(const core::FinalResponse& response);
LocalReply local_reply(const RequestError& error);
// As the problem's type and the log name it.
std::string_view to_string(RejectReason reason);

// The whole message, with the body unless the request was a HEAD.
std::string serialize(const LocalReply& reply, const ClientCapabilities& client,
                      const std::string& request_id);

}  // namespace silverreach::frontend::http
