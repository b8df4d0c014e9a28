#include "frontend/resp/frontend.h"

#include <chrono>
#include <utility>

#include "frontend/resp/resp_connection.h"
#include "resp/serializer.h"

namespace silverreach::frontend::resp {
namespace {
using namespace std::chrono_literals;

ConnectionPolicy policy_of(const FrontendLimits& limits) {
    ConnectionPolicy policy;
    policy.max_connections = limits.max_connections;
    policy.max_lingering = limits.max_lingering;
    policy.evict_idle = true;
    policy.socket_buffer_bytes = limits.socket_buffer_bytes;
    policy.sweep_period = 200ms;
    return policy;
}

std::string error_line(const core::FinalResponse& response) {
    if (!response.rejected)
        return response.failure_reason == core::FailureReason::timed_out
                   ? "-ERR no answer in time\r\n"
                   : "-ERR failed\r\n";
    const auto retry_after_ms =
        std::chrono::ceil<std::chrono::milliseconds>(response.retry_after).count();
    return retry_after_ms > 0 ? "-BUSY " + std::to_string(retry_after_ms) + "\r\n" : "-BUSY\r\n";
}
}  // namespace

Frontend::Frontend(event::Loop& loop, const config::Endpoint& listen,
                   const platform::CommandValidator& validator, const FrontendLimits& limits,
                   core::RequestCoordinator& core, std::function<Micros()> clock)
    : loop_(loop),
      context_{validator, core, std::move(clock), event::BufferBudget(limits.max_buffered_bytes),
               event::BufferBudget(limits.max_in_hand_bytes)},
      connections_(loop, listen, policy_of(limits),
                   [this](event::Fd fd, const std::string&, Micros waiting_since) {
                       return std::make_unique<RespConnection>(context_, connections_,
                                                               std::move(fd), waiting_since);
                   }) {}

std::shared_ptr<const platform::UpstreamCommand> Frontend::upstream_command(RequestId id) const {
    const RequestInFlight* request = context_.requests.find(id);
    return request ? request->command : nullptr;
}

std::uint64_t Frontend::client_id(RequestId id) const {
    const RequestInFlight* request = context_.requests.find(id);
    return request ? request->client_id : 0;
}

void Frontend::check_client_connected(RequestId id) {
    const RequestInFlight* request = context_.requests.find(id);
    // A request that was received in this turn of the loop was checked when it was read.
    if (!request || request->received_at == loop_.now()) return;
    RespConnection& connection = *request->connection;
    if (connection.peer_closed()) connection.close(CloseReason::client_ended);
}

void Frontend::complete(RequestId id, std::string response) {
    const auto request = context_.requests.take(id);
    if (request) request->connection->on_response(request->response_number, std::move(response));
}

void Frontend::finish(RequestId id, const core::FinalResponse& response) {
    complete(id, error_line(response));
}

void Frontend::respond(RequestId id, std::string_view value) {
    std::string response;
    silverreach::resp::append_bulk(response, value);
    complete(id, std::move(response));
}

void Frontend::start_draining(Micros deadline) {
    connections_.start_draining(deadline);
    connections_.check_timeouts();
}

Frontend::Stats Frontend::stats() const {
    Stats stats{context_.counters};
    stats.silent += connections_.stats().evicted;
    stats.connections = connections_.size();
    stats.accepted = connections_.stats().accepted;
    stats.rejected = connections_.stats().rejected;
    stats.buffered_bytes = context_.buffer_budget.used_bytes();
    return stats;
}

}  // namespace silverreach::frontend::resp
