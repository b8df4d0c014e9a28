// The platform's front end: RESP2 clients over TCP. It reads commands, hands requests to the core
// and writes each connection's responses in the order of its commands. platform::CommandValidator
// decides whether a command is valid; the core decides how a request is handled.
//
// Protection against misbehaving clients: connections without a complete command, or with an
// unfinished one, are closed after a timeout; a malformed frame gets one error reply, then the
// connection is closed; requests in flight, buffered bytes and unread responses are bounded; a
// connection that keeps sending invalid commands is read more and more slowly; when descriptors run
// short, silent and idle connections are closed first.
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
    // Of connections that are closed by this instance but not yet by their clients; they do not
    // count towards max_connections.
    std::size_t max_lingering = 12;
    // Of commands, over all connections.
    std::size_t max_buffered_bytes = std::size_t{4} * 1024 * 1024;
    // Of commands that wait for their responses, and unread responses, over all connections.
    std::size_t max_in_hand_bytes = std::size_t{16} * 1024 * 1024;
    // Of each connection's socket, in each direction.
    int socket_buffer_bytes = 128 * 1024;
};

// Used on the loop's thread.
class Frontend {
  public:
    // `clock` returns the core's time. Loop, validator and core must outlive the front end. Throws
    // event::SystemError if it cannot listen on the address.
    Frontend(event::Loop& loop, const config::Endpoint& listen,
             const platform::CommandValidator& validator, const FrontendLimits& limits,
             core::RequestCoordinator& core, std::function<Micros()> clock);

    int port() const { return connections_.port(); }
    bool listening() const { return connections_.listening(); }
    // Bytes of commands that wait for their responses, and of unread responses.
    std::size_t in_hand_bytes() const { return context_.in_hand_budget.used_bytes(); }

    // ---- requests; an id that is not in flight is ignored ----
    // Returns the command for hosts; nullptr if the request is not in flight.
    std::shared_ptr<const platform::UpstreamCommand> upstream_command(RequestId id) const;
    // Returns the id that the client gave the request; 0 if the request is not in flight.
    std::uint64_t client_id(RequestId id) const;
    // Sends the error reply for a rejection or failure.
    void finish(RequestId id, const core::FinalResponse& response);
    // Sends a host's complete value to the client.
    void respond(RequestId id, std::string_view value);
    // Called before an attempt that starts later than its request. If the client has closed its
    // side, closes the connection, which abandons the request.
    void check_client_connected(RequestId id);
    std::size_t in_flight() const { return context_.requests.size(); }

    // ---- connections ----
    // See ConnectionManager.
    bool close_idle() { return connections_.close_idle(); }
    void set_shortage_handler(std::function<bool()> close_idle) {
        connections_.set_shortage_handler(std::move(close_idle));
    }
    // Stops listening. A connection closes once its last request is answered; requests that are
    // received before `deadline` (on the loop's clock) are still answered. After that, a connection
    // closes as soon as it has no request in flight.
    void start_draining(Micros deadline);
    // Sets the function that logs the end of each connection.
    void on_close(std::function<void(const ConnectionClose&)> callback) {
        context_.on_close = std::move(callback);
    }

    struct Stats : FrontendCounters {
        std::size_t connections = 0;
        std::uint64_t accepted = 0;
        std::uint64_t rejected = 0;      // at max_connections
        std::size_t buffered_bytes = 0;  // now, of commands that are not handled yet
    };
    Stats stats() const;

  private:
    void complete(RequestId id, std::string response);

    event::Loop& loop_;
    FrontendContext context_;
    ConnectionManager connections_;
};

}  // namespace silverreach::frontend::resp
