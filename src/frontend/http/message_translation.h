// Builds the heads of forwarded messages for hosts and for clients. No I/O.
#pragma once

#include <string>

#include "event/system_random.h"
#include "http/parser.h"

namespace silverreach::frontend::http {

namespace wire = silverreach::http;

// Identifies a client's request; the same in all of its attempts.
struct RequestIdentity {
    std::string request_id;   // X-Request-Id
    std::string traceparent;  // W3C Trace Context
};
// Uses the client's ids where they are valid and generates the others from `random`.
RequestIdentity identify_request(const wire::Head& head, event::SystemRandom& random);

// Returns the head for hosts without its final empty line. Removes the hop-by-hop fields and adds
// Via, Forwarded, X-Request-Id, traceparent and the body's length. `path`: with the query; `via`:
// this instance's name in Via.
std::string request_head_for_host(const wire::Head& head, const std::string& path,
                                  const RequestIdentity& identity,
                                  const std::string& client_address, const std::string& via,
                                  std::size_t body_bytes);

// How the client recognizes the end of a response's body.
enum class Framing {
    content_length,
    chunked,
    until_close,
    none  // there is no body
};

// The properties of a client and its request on which the form of the response depends.
struct ClientCapabilities {
    int minor_version = 1;  // HTTP/1.x
    bool head_method = false;
    bool keep_alive = true;
    bool accepts_trailers = false;
    std::string date;  // current date, for responses that have none (RFC 9110, section 6.6.1)
};

void append_field(std::string& out, std::string_view name, std::string_view value);
// Appends the Connection field if one is needed.
void append_connection_field(std::string& out, bool keep_alive, int minor_version);

// Returns a host's head as sent to the client; sets `framing` to how the body must be sent.
std::string response_head_for_client(const wire::Head& head, const ClientCapabilities& client,
                                     const std::string& request_id, const std::string& via,
                                     Framing& framing);
// Returns the end of a chunked body.
std::string last_chunk(const wire::Fields& trailers, bool accepts_trailers);

}  // namespace silverreach::frontend::http
