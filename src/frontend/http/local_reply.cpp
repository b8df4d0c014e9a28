#include "frontend/http/local_reply.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <nlohmann/json.hpp>

namespace silverreach::frontend::http {
namespace {
struct Rejection {
    std::string_view type;
    int status;
    std::string_view title;
};
// Indexed by RejectReason. The types are part of the protocol and must not change.
constexpr std::array<Rejection, 7> rejections{{
    {"quota", 429, "The account's quota is spent"},
    {"ceiling", 429, "The account's ceiling is reached"},
    {"open", 429, "The account has too many requests open"},
    {"pressed", 503, "The back end is pressed"},
    {"no-host", 503, "No host could take the request in time"},
    {"no-answer", 504, "No answer in time"},
    {"late", 504, "The request came with no time left"},
}};
const Rejection& rejection_of(RejectReason reason) {
    return rejections[static_cast<std::size_t>(reason)];
}

std::string problem_document(const LocalReply& reply, const std::string& request_id) {
    nlohmann::json body = {{"status", reply.status}, {"title", reply.title}};
    body["type"] = reply.type.empty() ? "about:blank" : "urn:silverreach:reason:" + reply.type;
    if (!reply.detail.empty()) body["detail"] = reply.detail;
    if (!request_id.empty()) body["instance"] = "urn:silverreach:request:" + request_id;
    return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
}

// Rounds up so that a client that retries at that time is not too early.
void append_retry_after(std::string& out, Micros retry_after) {
    const auto retry_after_seconds = std::chrono::ceil<std::chrono::seconds>(retry_after).count();
    append_field(out, "Retry-After",
                 fmt::format_int(std::max<std::int64_t>(retry_after_seconds, 0)).c_str());
    if (retry_after <= Micros(0)) return;
    const auto retry_after_ms = std::chrono::ceil<std::chrono::milliseconds>(retry_after).count();
    append_field(out, "Retry-After-Ms", fmt::format_int(retry_after_ms).c_str());
}

bool shows_retry_after(int status) {
    return status == 429 || status == 503 || status == 504;
}
}  // namespace

std::string_view to_string(RejectReason reason) {
    return rejection_of(reason).type;
}

LocalReply local_reply(const core::FinalResponse& response) {
    LocalReply reply;
    reply.retry_after = response.retry_after;
    if (response.rejected) {
        const Rejection& rejection = rejection_of(response.reject_reason);
        reply.status = rejection.status;
        reply.type = rejection.type;
        reply.title = rejection.title;
        reply.detail = "Trying again is harmless.";
        return reply;
    }
    const bool timed_out = response.failure_reason == core::FailureReason::timed_out;
    reply.status = timed_out ? 504 : 502;
    reply.type = timed_out ? "no-time" : "bad-answer";
    reply.title = timed_out ? "No answer in time" : "No good answer";
    reply.detail = "The request may have run. This answer promises nothing about it.";
    return reply;
}

LocalReply local_reply(const RequestError& error) {
    LocalReply reply;
    reply.status = error.status;
    reply.title = error.title;
    reply.detail = error.detail;
    if (error.needs_key) append_field(reply.extra_fields, "WWW-Authenticate", "Bearer");
    if (error.status == 405) {
        std::string allowed;
        for (const openapi::Method method : error.allowed_methods)
            allowed.append(allowed.empty() ? "" : ", ")
                .append(openapi::method_names[static_cast<std::size_t>(method)]);
        append_field(reply.extra_fields, "Allow", allowed);
    }
    return reply;
}

std::string serialize(const LocalReply& reply, const ClientCapabilities& client,
                      const std::string& request_id) {
    const std::string body = problem_document(reply, request_id);
    std::string out =
        fmt::format("HTTP/1.1 {} {}\r\n", reply.status, wire::reason_phrase(reply.status));
    if (!client.date.empty()) append_field(out, "Date", client.date);
    append_field(out, "Content-Type", "application/problem+json");
    append_field(out, "Content-Length", fmt::format_int(body.size()).c_str());
    if (!request_id.empty()) append_field(out, "X-Request-Id", request_id);
    if (shows_retry_after(reply.status)) append_retry_after(out, reply.retry_after);
    out += reply.extra_fields;
    append_connection_field(out, client.keep_alive, client.minor_version);
    out += "\r\n";
    return client.head_method ? out : out + body;
}

}  // namespace silverreach::frontend::http
