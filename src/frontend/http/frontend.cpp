#include "frontend/http/frontend.h"

#include <fmt/format.h>

#include <utility>

#include "frontend/http/http_connection.h"

namespace silverreach::frontend::http {
namespace {
constexpr int socket_buffer_bytes = 128 * 1024;  // of a client's connection, in each direction

ConnectionPolicy policy_of(const config::Listen& listen) {
    ConnectionPolicy policy;
    policy.max_connections = static_cast<std::size_t>(listen.max_connections());
    policy.socket_buffer_bytes = socket_buffer_bytes;
    return policy;
}
}  // namespace

const std::string& DateCache::current_text() {
    const std::time_t second = std::time(nullptr);
    if (second != second_) {
        second_ = second;
        text_ = wire::format_http_date(second);
    }
    return text_;
}

Frontend::Frontend(event::Loop& loop, const config::Config& config, config::KeyIndex& accounts,
                   core::RequestCoordinator& core, FrontendCallbacks callbacks)
    : context_{config,
               core,
               std::move(callbacks),
               config::plan_index(config, config.api().anonymous_plan()),
               fmt::format("silverreach-{}", config.peers().rank()),
               RequestResolver(config, accounts),
               event::BufferBudget(static_cast<std::size_t>(config.listen().max_buffered_bytes()))},
      connections_(
          loop, *config::parse_endpoint(config.listen().address()), policy_of(config.listen()),
          [this](event::Fd fd, std::string client_address, Micros waiting_since) {
              return std::make_unique<HttpConnection>(context_, connections_, std::move(fd),
                                                      std::move(client_address), waiting_since);
          }) {}

bool Frontend::has_unfinished_work() const {
    return connections_.listening() || connections_.any_of([](const ClientConnection& connection) {
        return static_cast<const HttpConnection&>(connection).has_unfinished_work();
    });
}

HttpConnection* Frontend::find(RequestId id) const {
    const auto it = context_.in_flight.find(id);
    return it == context_.in_flight.end() ? nullptr : it->second;
}

std::shared_ptr<const upstream_http::UpstreamRequest> Frontend::upstream_request(
    RequestId id) const {
    const HttpConnection* connection = find(id);
    return connection ? connection->upstream_request() : nullptr;
}

void Frontend::check_client_connected(RequestId id) {
    if (HttpConnection* connection = find(id)) connection->check_client_connected();
}

void Frontend::finish(RequestId id, const core::FinalResponse& response) {
    if (HttpConnection* connection = find(id)) connection->finish(response);
}

void Frontend::abort(RequestId id) {
    if (HttpConnection* connection = find(id)) connection->abort_response("cut");
}

void Frontend::start_response(RequestId id, wire::Head& head,
                              ResponseWriter::PauseHost pause_host) {
    if (HttpConnection* connection = find(id))
        connection->start_response(head, std::move(pause_host));
}

void Frontend::append_body(RequestId id, std::string_view bytes) {
    if (HttpConnection* connection = find(id)) connection->append_body(bytes);
}

void Frontend::end_response(RequestId id, bool complete, const wire::Fields& trailers) {
    HttpConnection* connection = find(id);
    if (!connection) return;
    if (complete)
        connection->end_response(trailers);
    else
        connection->abort_response("broken");
}

}  // namespace silverreach::frontend::http
