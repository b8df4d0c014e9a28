#include "frontend/http/translate.h"

#include <fmt/format.h>

#include <nlohmann/json.hpp>

namespace silverreach::frontend::http {
namespace {
void add(std::string& out, std::string_view name, std::string_view value) {
    out.append(name).append(": ").append(value).append("\r\n");
}
std::string quoted_address(const std::string& address) {
    return address.find(':') == std::string::npos ? address : "\"[" + address + "]\"";
}
}  // namespace

Identity identity_of(const wire::Head& head, event::SystemRandom& random) {
    Identity identity;
    const std::string* id = wire::find(head.fields, "X-Request-Id");
    identity.request_id =
        id && wire::sound_request_id(*id) ? *id : fmt::format("{:016x}{:016x}", random(), random());
    const std::string* trace = wire::find(head.fields, "traceparent");
    identity.traceparent =
        trace && wire::sound_traceparent(*trace)
            ? *trace
            : fmt::format("00-{:016x}{:016x}-{:016x}-00", random(), random() | 1, random() | 1);
    return identity;
}

std::string head_for_host(const wire::Head& head, const std::string& path, const Identity& identity,
                          const std::string& client_address, const std::string& via,
                          std::size_t body) {
    std::string out;
    out.reserve(512);
    out.append(head.method).append(" ").append(path).append(" HTTP/1.1\r\n");
    const std::string* host = wire::find(head.fields, "Host");
    add(out, "Host", host ? *host : "");
    const auto connection = wire::connection_words(head.fields);
    std::string via_line, forwarded;
    for (const wire::Field& f : head.fields) {
        const auto is = [&](std::string_view name) { return wire::same_name(f.name, name); };
        if (is("Via"))
            via_line += f.value + ", ";
        else if (is("Forwarded"))
            forwarded += f.value + ", ";
        else if (!is("Host") && !is("Content-Length") && !is("Expect") && !is("X-Request-Id") &&
                 !is("traceparent") && !is("Silverreach-Attempt") &&
                 !wire::hop_by_hop(connection, f.name))
            add(out, f.name, f.value);
    }
    if (body > 0 || head.chunked || head.has_length)
        add(out, "Content-Length", fmt::format_int(body).c_str());
    add(out, "Via", via_line + fmt::format("1.{} {}", head.minor, via));
    add(out, "Forwarded", forwarded + "for=" + quoted_address(client_address) + ";proto=http");
    add(out, "X-Request-Id", identity.request_id);
    add(out, "traceparent", identity.traceparent);
    return out;
}

std::string head_for_client(const wire::Head& head, const ClientSide& client,
                            const std::string& request_id, const std::string& via,
                            Framing& framing) {
    std::string out;
    out.reserve(512);
    const std::string_view phrase = wire::reason_phrase(head.status);
    out += fmt::format("HTTP/1.1 {} {}\r\n", head.status, phrase);
    const bool bodyless = head.status == 204 || head.status == 304;
    if (client.to_head || bodyless)
        framing = Framing::none;
    else if (head.has_length)
        framing = Framing::length;
    else
        framing = client.minor >= 1 ? Framing::chunked : Framing::until_close;
    const auto connection = wire::connection_words(head.fields);
    std::string via_line;
    for (const wire::Field& f : head.fields) {
        const auto is = [&](std::string_view name) { return wire::same_name(f.name, name); };
        if (is("Via"))
            via_line += f.value + ", ";
        else if (is("Content-Length") && head.status == 204)
            continue;
        else if (!is("X-Request-Id") && !is("endpoint-load-metrics") &&
                 !wire::hop_by_hop(connection, f.name))
            add(out, f.name, f.value);
    }
    add(out, "Via", via_line + fmt::format("1.{} {}", head.minor, via));
    add(out, "X-Request-Id", request_id);
    if (!client.date.empty() && !wire::find(head.fields, "Date")) add(out, "Date", client.date);
    if (framing == Framing::chunked) add(out, "Transfer-Encoding", "chunked");
    const bool keep = client.keep_alive && framing != Framing::until_close;
    if (!keep)
        add(out, "Connection", "close");
    else if (client.minor == 0)
        add(out, "Connection", "keep-alive");
    return out += "\r\n";
}

std::string last_chunk(const wire::Fields& trailers, bool wanted) {
    std::string out = "0\r\n";
    if (wanted)
        for (const wire::Field& f : trailers)
            if (!wire::hop_by_hop({}, f.name) && !wire::same_name(f.name, "Content-Length") &&
                !wire::same_name(f.name, "Host"))
                add(out, f.name, f.value);
    return out += "\r\n";
}

std::string_view reason_name(RejectReason reason) {
    constexpr std::array<std::string_view, 7> names = {"quota",   "ceiling",   "open", "pressed",
                                                       "no-host", "no-answer", "late"};
    return names[static_cast<std::size_t>(reason)];
}

OwnAnswer own_answer(const core::FinalResponse& answer) {
    OwnAnswer own;
    own.retry_after = answer.retry_after;
    if (!answer.rejected) {
        const bool late = answer.failure_reason == core::FailureReason::timed_out;
        own.status = late ? 504 : 502;
        own.type = late ? "no-time" : "bad-answer";
        own.title = late ? "No answer in time" : "No good answer";
        own.detail = "The request may have run. This answer promises nothing about it.";
        return own;
    }
    own.type = reason_name(answer.reject_reason);
    own.detail = "Trying again is harmless.";
    switch (answer.reject_reason) {
        case RejectReason::quota_exhausted:
            own.status = 429, own.title = "The account's quota is spent";
            break;
        case RejectReason::ceiling_reached:
            own.status = 429, own.title = "The account's ceiling is reached";
            break;
        case RejectReason::concurrency_limit:
            own.status = 429, own.title = "The account has too many requests open";
            break;
        case RejectReason::overloaded:
            own.status = 503, own.title = "The back end is pressed";
            break;
        case RejectReason::no_endpoint:
            own.status = 503, own.title = "No host could take the request in time";
            break;
        case RejectReason::no_response:
            own.status = 504, own.title = "No answer in time";
            break;
        case RejectReason::deadline_exceeded:
            own.status = 504, own.title = "The request came with no time left";
            break;
    }
    return own;
}

OwnAnswer own_answer(const Refusal& refusal) {
    OwnAnswer own;
    own.status = refusal.status;
    own.title = refusal.title, own.detail = refusal.detail;
    if (refusal.challenge) add(own.fields, "WWW-Authenticate", "Bearer");
    if (refusal.status == 405) {
        std::string allowed;
        for (const openapi::Method m : refusal.allowed)
            allowed.append(allowed.empty() ? "" : ", ")
                .append(openapi::method_names[static_cast<std::size_t>(m)]);
        add(own.fields, "Allow", allowed);
    }
    return own;
}

std::string write_answer(const OwnAnswer& answer, const ClientSide& client,
                         const std::string& request_id) {
    nlohmann::json body = {{"status", answer.status}, {"title", answer.title}};
    body["type"] = answer.type.empty() ? "about:blank" : "urn:silverreach:reason:" + answer.type;
    if (!answer.detail.empty()) body["detail"] = answer.detail;
    if (!request_id.empty()) body["instance"] = "urn:silverreach:request:" + request_id;
    const std::string text =
        body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
    std::string out =
        fmt::format("HTTP/1.1 {} {}\r\n", answer.status, wire::reason_phrase(answer.status));
    if (!client.date.empty()) add(out, "Date", client.date);
    add(out, "Content-Type", "application/problem+json");
    add(out, "Content-Length", fmt::format_int(text.size()).c_str());
    if (!request_id.empty()) add(out, "X-Request-Id", request_id);
    if (answer.status == 429 || answer.status == 503 || answer.status == 504) {
        // Whole seconds, rounded up: a client that comes back at that time is not early.
        const auto seconds = (answer.retry_after.count() + 999'999) / 1'000'000;
        add(out, "Retry-After", fmt::format_int(std::max<std::int64_t>(seconds, 0)).c_str());
        if (answer.retry_after.count() > 0)
            add(out, "Retry-After-Ms",
                fmt::format_int((answer.retry_after.count() + 999) / 1000).c_str());
    }
    out += answer.fields;
    if (!client.keep_alive)
        add(out, "Connection", "close");
    else if (client.minor == 0)
        add(out, "Connection", "keep-alive");
    out += "\r\n";
    return client.to_head ? out : out + text;
}

}  // namespace silverreach::frontend::http
