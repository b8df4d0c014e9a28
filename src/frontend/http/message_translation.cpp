#include "frontend/http/message_translation.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <span>
#include <vector>

namespace silverreach::frontend::http {
namespace {
constexpr std::size_t initial_head_bytes = 512;

std::string quote_address(const std::string& address) {
    return address.find(':') == std::string::npos ? address : "\"[" + address + "]\"";
}

// Returns the values of a list field in the form to which another element can be appended.
std::string list_prefix(const wire::Fields& fields, std::string_view name) {
    std::string prefix;
    for (const wire::Field& field : fields)
        if (wire::equals_ignore_case(field.name, name)) prefix += field.value + ", ";
    return prefix;
}

// Appends the end-to-end fields except `dropped`, most of which the gateway sets itself.
// `connection_options`: the options of the head's Connection field.
void append_end_to_end(std::string& out, const wire::Fields& fields,
                       const std::vector<std::string_view>& connection_options,
                       std::span<const std::string_view> dropped) {
    for (const wire::Field& field : fields) {
        const bool is_dropped = std::ranges::any_of(dropped, [&](std::string_view name) {
            return wire::equals_ignore_case(field.name, name);
        });
        if (!is_dropped && !wire::is_hop_by_hop(connection_options, field.name))
            append_field(out, field.name, field.value);
    }
}

void append_via(std::string& out, const wire::Head& head, const std::string& via) {
    append_field(out, "Via",
                 list_prefix(head.fields, "Via") + fmt::format("1.{} {}", head.minor_version, via));
}

bool has_no_body(int status) {
    return status == 204 || status == 304;
}

Framing framing_of(const wire::Head& head, const ClientCapabilities& client) {
    if (client.head_method || has_no_body(head.status)) return Framing::none;
    if (head.has_content_length) return Framing::content_length;
    return client.minor_version >= 1 ? Framing::chunked : Framing::until_close;
}
}  // namespace

void append_field(std::string& out, std::string_view name, std::string_view value) {
    out.append(name).append(": ").append(value).append("\r\n");
}

void append_connection_field(std::string& out, bool keep_alive, int minor_version) {
    if (!keep_alive)
        append_field(out, "Connection", "close");
    else if (minor_version == 0)
        append_field(out, "Connection", "keep-alive");
}

RequestIdentity identify_request(const wire::Head& head, event::SystemRandom& random) {
    RequestIdentity identity;
    const std::string* id = wire::find(head.fields, "X-Request-Id");
    identity.request_id = id && wire::is_valid_request_id(*id)
                              ? *id
                              : fmt::format("{:016x}{:016x}", random(), random());
    const std::string* trace = wire::find(head.fields, "traceparent");
    identity.traceparent =
        trace && wire::is_valid_traceparent(*trace)
            ? *trace
            : fmt::format("00-{:016x}{:016x}-{:016x}-00", random(), random() | 1, random() | 1);
    return identity;
}

std::string request_head_for_host(const wire::Head& head, const std::string& path,
                                  const RequestIdentity& identity,
                                  const std::string& client_address, const std::string& via,
                                  std::size_t body_bytes) {
    constexpr std::array<std::string_view, 8> dropped{
        "Via",    "Forwarded",    "Host",        "Content-Length",
        "Expect", "X-Request-Id", "traceparent", "Silverreach-Attempt"};
    std::string out;
    out.reserve(initial_head_bytes);
    out.append(head.method).append(" ").append(path).append(" HTTP/1.1\r\n");
    const std::string* host = wire::find(head.fields, "Host");
    append_field(out, "Host", host ? *host : "");
    append_end_to_end(out, head.fields, wire::connection_options(head.fields), dropped);
    if (body_bytes > 0 || head.chunked || head.has_content_length)
        append_field(out, "Content-Length", fmt::format_int(body_bytes).c_str());
    append_via(out, head, via);
    append_field(out, "Forwarded",
                 list_prefix(head.fields, "Forwarded") + "for=" + quote_address(client_address) +
                     ";proto=http");
    append_field(out, "X-Request-Id", identity.request_id);
    append_field(out, "traceparent", identity.traceparent);
    return out;
}

std::string response_head_for_client(const wire::Head& head, const ClientCapabilities& client,
                                     const std::string& request_id, const std::string& via,
                                     Framing& framing) {
    // Content-Length, the last element, is dropped from a 204 only (RFC 9110, section 8.6).
    constexpr std::array<std::string_view, 4> dropped{"Via", "X-Request-Id",
                                                      "endpoint-load-metrics", "Content-Length"};
    framing = framing_of(head, client);
    std::string out;
    out.reserve(initial_head_bytes);
    out += fmt::format("HTTP/1.1 {} {}\r\n", head.status, wire::reason_phrase(head.status));
    append_end_to_end(
        out, head.fields, wire::connection_options(head.fields),
        std::span(dropped).first(head.status == 204 ? dropped.size() : dropped.size() - 1));
    append_via(out, head, via);
    append_field(out, "X-Request-Id", request_id);
    if (!client.date.empty() && !wire::find(head.fields, "Date"))
        append_field(out, "Date", client.date);
    if (framing == Framing::chunked) append_field(out, "Transfer-Encoding", "chunked");
    append_connection_field(out, client.keep_alive && framing != Framing::until_close,
                            client.minor_version);
    return out += "\r\n";
}

std::string last_chunk(const wire::Fields& trailers, bool accepts_trailers) {
    constexpr std::array<std::string_view, 2> dropped{"Content-Length", "Host"};
    std::string out = "0\r\n";
    if (accepts_trailers) append_end_to_end(out, trailers, {}, dropped);
    return out += "\r\n";
}

}  // namespace silverreach::frontend::http
