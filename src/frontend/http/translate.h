// Messages as they go on: to hosts, to clients, and the gateway's own answers. No I/O.
#pragma once

#include <string>

#include "core/client_request.h"
#include "event/system_random.h"
#include "frontend/http/resolve.h"
#include "http/parser.h"

namespace silverreach::frontend::http {

struct Identity {  // of one try, the same on all its attempts
    std::string request_id, traceparent;
};
// `random`: by reference, since each call must move it on.
Identity identity_of(const wire::Head& head, event::SystemRandom& random);

// The head for hosts without its last empty line: hop-by-hop fields gone, Via, Forwarded,
// X-Request-Id, traceparent and the body's length added.
std::string head_for_host(const wire::Head& head, const std::string& path, const Identity& identity,
                          const std::string& client_address, const std::string& via,
                          std::size_t body);

enum class Framing {
    length,
    chunked,
    until_close,
    none
};
struct ClientSide {
    int minor = 1;
    bool to_head = false, keep_alive = true, trailers = false;
    std::string date;  // of now, for answers that have none (RFC 9110 6.6.1)
};
// A host's head as the client gets it; `framing` says how the body must follow.
std::string head_for_client(const wire::Head& head, const ClientSide& client,
                            const std::string& request_id, const std::string& via,
                            Framing& framing);
std::string last_chunk(const wire::Fields& trailers, bool wanted);

// The gateway's own answers: status, Retry-After, and a problem document (RFC 9457).
struct OwnAnswer {
    int status = 500;
    std::string type, title, detail;
    Micros retry_after{0};
    std::string fields;  // further ones, each line with its end
};
OwnAnswer own_answer(const core::FinalResponse& answer);
OwnAnswer own_answer(const Refusal& refusal);
std::string_view reason_name(RejectReason reason);
std::string write_answer(const OwnAnswer& answer, const ClientSide& client,
                         const std::string& request_id);

}  // namespace silverreach::frontend::http
