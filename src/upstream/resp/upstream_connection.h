// One RESP connection to a host: writes the command of an attempt or health check and reads the
// reply. The states are those of upstream::PooledConnection without `receiving_body`, because a
// reply counts only once it is complete and well-formed.
//
// When an attempt ends during the handshake, its connection returns to the pool, which keeps it as
// pending for a later exchange.
#pragma once

#include <memory>
#include <string>

#include "platform/request.h"
#include "upstream/common/connection_pool.h"
#include "upstream/common/exchange_mover.h"
#include "upstream/resp/attempt_callbacks.h"
#include "upstream/resp/response_reader.h"
#include "upstream/resp/upstream_limits.h"

namespace silverreach::upstream_resp {

class UpstreamConnection;
using AttemptTable = upstream::AttemptTable<UpstreamConnection>;
using ExchangeMover = upstream::ExchangeMover<platform::UpstreamCommand>;

// Numbers of replies after which the connection was closed.
struct ResponseCounters {
    std::uint64_t malformed = 0;       // not well-formed, or too large
    std::uint64_t trailing_bytes = 0;  // complete, but followed by more bytes
    std::uint64_t stalled = 0;         // begun but not completed in time
};

// Shared by all connections of an Upstream; outlives them.
struct ConnectionContext {
    event::Loop& loop;
    const UpstreamLimits& limits;
    AttemptCallbacks& callbacks;
    upstream::ConnectionPool& pool;
    AttemptTable& attempts;
    ResponseCounters& counters;
    event::BufferBudget& buffer_budget;  // of incomplete replies
    ExchangeMover& mover;
};

class UpstreamConnection : public upstream::PooledConnection {
  public:
    UpstreamConnection(ConnectionContext& context, upstream::HostConnections& host, event::Fd fd);

    // Both send now, or once the connection is established.
    void begin_attempt(const core::AttemptKey& key,
                       std::shared_ptr<const platform::UpstreamCommand> command);
    void begin_health_check(std::string command);
    // Ends the exchange without a callback.
    void abandon();
    // Ends the attempt as `not_started`.
    void end_unsent();

  private:
    void on_ready() override { write_request(); }
    void move_exchange() override;
    void on_response_bytes(std::string_view bytes) override;
    void on_remote_close() override { fail_connection_lost(); }
    void on_exchange_error(int error) override;

    void begin(const core::AttemptKey& key);
    void write_request();
    void write_attempt();
    void on_incomplete_reply(bool first_bytes);
    void on_complete_reply();

    void start_connect_timer();
    void start_health_check_timer();
    void start_send_timer();
    void start_stall_timer(Micros wait);

    void fail_connection_lost();
    void fail_malformed();
    void finish(HostResponse response, bool reusable);
    void release(bool reusable);

    ConnectionContext& context_;
    ResponseReader reader_;
    std::shared_ptr<const platform::UpstreamCommand> command_;
    std::string health_check_command_;
    Micros last_bytes_at_{0};  // loop time
};

}  // namespace silverreach::upstream_resp
