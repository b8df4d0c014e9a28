#include "frontend/http/client_request.h"

#include <fmt/format.h>

#include <utility>

namespace silverreach::frontend::http {

std::unique_ptr<ClientRequest> make_client_request(wire::Head& head, Micros received_at,
                                                   FrontendContext& context) {
    auto request = std::make_unique<ClientRequest>();
    request->received_at = received_at;
    request->head = std::move(head);
    request->client.minor_version = request->head.minor_version;
    request->client.head_method = request->head.method == "HEAD";
    request->client.keep_alive = request->head.keep_alive;
    request->client.accepts_trailers = wire::list_contains(request->head.fields, "TE", "trailers");
    request->identity = identify_request(request->head, context.random);
    request->description = context.callbacks.description();
    return request;
}

std::optional<LocalRejection> check_request(ClientRequest& request,
                                            const FrontendContext& context) {
    if (auto error = context.resolver.resolve(request.head, *request.description, request.resolved))
        return LocalRejection{std::move(*error), "bad-request"};
    const auto& account = request.resolved.account;
    if (account && !context.callbacks.serves_account(*account))
        return LocalRejection{
            {421, "Not of this instance", "the account is served by other instances"},
            "misdirected"};
    if (request.head.has_content_length && request.head.content_length > max_body_bytes(context))
        return LocalRejection{body_too_large(context), "bad-request"};
    const std::string* expect = wire::find(request.head.fields, "Expect");
    if (expect && !wire::equals_ignore_case(*expect, "100-continue"))
        return LocalRejection{{417, "Unknown expectation", "100-continue is the only one"},
                              "bad-request"};
    return std::nullopt;
}

bool expects_continue(const wire::Head& head) {
    const bool has_body = head.chunked || head.content_length > 0;
    return wire::find(head.fields, "Expect") && has_body && head.minor_version >= 1;
}

std::size_t max_body_bytes(const FrontendContext& context) {
    return static_cast<std::size_t>(context.config.listen().max_body_bytes());
}

RequestError body_too_large(const FrontendContext& context) {
    return {413, "Body too large", fmt::format("{} bytes at most", max_body_bytes(context))};
}

std::shared_ptr<const upstream_http::UpstreamRequest> make_upstream_request(
    ClientRequest& request, const std::string& client_address, const std::string& via) {
    auto upstream = std::make_shared<upstream_http::UpstreamRequest>();
    upstream->head = request_head_for_host(request.head, request.resolved.path, request.identity,
                                           client_address, via, request.body.size());
    upstream->body = std::move(request.body);
    upstream->head_method = request.client.head_method;
    return upstream;
}

core::ClientRequest make_core_request(const ClientRequest& request,
                                      const std::string& client_address,
                                      const FrontendContext& context, Micros now) {
    const ResolvedRequest& resolved = request.resolved;
    core::ClientRequest core_request;
    core_request.account =
        resolved.account ? resolved.account->name : anonymous_account(client_address);
    core_request.plan = resolved.account ? resolved.account->plan : context.anonymous_plan;
    core_request.request_class = resolved.request_class;
    core_request.units = resolved.units;
    core_request.time_remaining = resolved.deadline - (now - request.received_at);
    return core_request;
}

AccessLogEntry make_access_log_entry(const ClientRequest& request,
                                     const std::string& client_address, int status,
                                     std::string_view reason, Micros now) {
    const ResolvedRequest& resolved = request.resolved;
    AccessLogEntry entry;
    entry.request_id = request.identity.request_id;
    entry.method = request.head.method;
    entry.path = request.head.target.substr(0, request.head.target.find('?'));
    entry.account = resolved.account ? resolved.account->name : "";
    entry.key_id = resolved.account ? resolved.account->key_id : "";
    entry.request_class = resolved.route ? resolved.route->request_class : "";
    entry.reason = reason;
    entry.client = client_address;
    entry.units = resolved.units;
    entry.status = status;
    entry.duration = now - request.received_at;
    return entry;
}

}  // namespace silverreach::frontend::http
