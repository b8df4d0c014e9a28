// The heads of messages as they are forwarded, to hosts and to clients. No I/O.
#pragma once

#include <string>

#include "event/system_random.h"
#include "http/parser.h"

namespace silverreach::frontend::http {

namespace wire = silverreach::http;

// Names a client's request; the same on all its attempts.
struct RequestIdentity {
    std::string request_id;   // X-Request-Id
    std::string traceparent;  // W3C Trace Context
};
// The client's own where they are sound, else new ones from `random`.
RequestIdentity identify_request(const wire::Head& head, event::SystemRandom& random);

// The head for hosts without its last empty line: hop-by-hop fields removed, Via, Forwarded,
// X-Request-Id, traceparent and the body's length added. `path`: with the query; `via`: this
// instance's name in Via.
std::string request_head_for_host(const wire::Head& head, const std::string& path,
                                  const RequestIdentity& identity,
                                  const std::string& client_address, const std::string& via,
                                  std::size_t body_bytes);

// How the end of a response's body is shown to the client.
enum class Framing {
    length,
    chunked,
    until_close,
    none  // there is no body
};

// What a response must suit.
struct ClientCapabilities {
    int minor = 1;  // HTTP/1.x
    bool head_method = false;
    bool keep_alive = true;
    bool accepts_trailers = false;
    std::string date;  // of now, for responses that have none (RFC 9110 6.6.1)
};

void append_field(std::string& out, std::string_view name, std::string_view value);
// The Connection field, where one is needed.
void append_connection_field(std::string& out, bool keep_alive, int minor);

// A host's head as the client gets it; sets `framing` to how the body must follow.
std::string response_head_for_client(const wire::Head& head, const ClientCapabilities& client,
                                     const std::string& request_id, const std::string& via,
                                     Framing& framing);
// The end of a chunked body.
std::string last_chunk(const wire::Fields& trailers, bool accepts_trailers);

}  // namespace silverreach::frontend::http
