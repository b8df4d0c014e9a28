// The platform's front end: RESP2 clients over TCP. It reads commands, hands requests to the core
// and writes each connection's responses in the order of its commands. platform::CommandValidator
// decides whether a command is valid, the core what becomes of it.
//
// Protection against clients: silent and unfinished connections are closed in time; a broken frame
// gets one error line and the end; requests in flight, buffered bytes and unread responses are
// bounded; a connection that keeps sending invalid commands is read ever more slowly; when
// descriptors run short silent and idle connections are closed first.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "frontend/common/connection_manager.h"
#include "frontend/resp/frontend_context.h"

namespace silverreach::frontend::resp {

struct FrontendLimits {
    std::size_t max_connections = 100;
    std::size_t max_lingering = 12;  // beside these: ended here, not yet by their clients
    std::size_t max_buffered_bytes = std::size_t{4} * 1024 * 1024;  // of commands, over all
};

// Used on the loop's thread.
class Frontend {
  public:
    // `clock` gives the core's time. Loop, validator and core must outlive the front end. Throws
    // event::SystemError where the address cannot be listened on.
    Frontend(event::Loop& loop, const config::Endpoint& listen,
             const platform::CommandValidator& validator, const FrontendLimits& limits,
             core::RequestCoordinator& core, std::function<Micros()> clock);

    int port() const { return connections_.port(); }
    bool listening() const { return connections_.listening(); }

    // ---- requests; an id that is not in flight is ignored ----
    // The command for hosts; nullptr: not in flight.
    std::shared_ptr<const platform::UpstreamCommand> upstream_command(RequestId id) const;
    // As the client named the request; 0: not in flight.
    std::uint64_t client_id(RequestId id) const;
    // Sends a rejection or failure.
    void finish(RequestId id, const core::FinalResponse& response);
    // Sends a host's complete value.
    void respond(RequestId id, std::string_view value);
    // Before an attempt that comes later than its request: closes the connection, and with it
    // abandons the request, if the client has closed its side.
    void check_client_connected(RequestId id);
    std::size_t in_flight() const { return context_.requests.size(); }

    // ---- connections ----
    // See ConnectionManager.
    bool close_idle() { return connections_.close_idle(); }
    void on_shortage(std::function<bool()> close_idle) {
        connections_.on_shortage(std::move(close_idle));
    }
    // Stops listening. A connection ends once its last request is answered, and what is still
    // received is answered before `deadline` (on the loop's clock); after that a connection ends as
    // soon as it has no request in flight.
    void start_draining(Micros deadline);
    // Called for every connection that ends, for the log.
    void on_close(std::function<void(const ConnectionClose&)> callback) {
        context_.on_close = std::move(callback);
    }

    struct Stats : FrontendCounters {
        std::size_t connections = 0;
        std::uint64_t accepted = 0;
        std::uint64_t rejected = 0;  // at the limit of connections
    };
    Stats stats() const;

  private:
    void complete(RequestId id, std::string response);

    event::Loop& loop_;
    FrontendContext context_;
    ConnectionManager connections_;
};

}  // namespace silverreach::frontend::resp
