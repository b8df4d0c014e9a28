// One connection to a host. It carries one exchange (an attempt or a health check) at a time and
// returns to its pool when the exchange ends. Derived classes implement the protocol.
//
//   pending ──connected──> idle ──begin──> starting ──sent──> awaiting_response ──> receiving_body
//      │ ▲                   ▲                 │                     │                    │
//    begin end               └─────────────────┴───────── end ───────┴────────────────────┘
//      ▼ │
//   connecting ──connected──> starting          any ──retire──> closed
//
// Where the connection must rest before its next request (ReuseRule), `begin` leads to `resting`
// and the end of the rest to `starting`. Bytes or a close of the host while it rests move the
// exchange to another connection, as nothing of it has been written.
//
// Runs on the loop's thread. The pool owns the connection. A retired connection is destroyed after
// the current callback of the loop has returned, so it may be retired from within its own
// callbacks.
#pragma once

#include <memory>
#include <optional>
#include <utility>

#include "config/config.h"
#include "event/stream.h"
#include "upstream/common/attempt_table.h"

namespace silverreach::upstream {

struct HostConnections;
class ConnectionPool;

// Why a connection on which no request is written carries none any more.
enum class DropReason {
    unsolicited_bytes,
    closed_by_host,
    outdated  // idle for too long, or opened to another address of its host
};

class PooledConnection : public event::StreamOwner {
  public:
    enum class State {
        pending,            // handshake in progress, no exchange
        connecting,         // handshake in progress, an exchange waits for it
        idle,               // connected, no exchange
        resting,            // connected; the exchange waits for late bytes of the one before it
        starting,           // connected; the request of the exchange is not written yet
        awaiting_response,  // the request is written; bytes of it may still be queued
        receiving_body,     // the head of the response has been read
        closed
    };

    // Takes ownership of a connecting socket. `host` must have an address and outlive the
    // connection.
    PooledConnection(event::Loop& loop, ConnectionPool& pool, HostConnections& host, event::Fd fd);
    ~PooledConnection() override;
    PooledConnection(const PooledConnection&) = delete;
    PooledConnection& operator=(const PooledConnection&) = delete;

    State state() const { return state_; }
    bool has_exchange() const;
    bool is_connected() const;
    bool is_health_check() const { return key_ == health_check_key; }
    // Whether all bytes of the request have been passed to the system. Before that the request
    // cannot have run.
    bool request_sent() const { return request_written() && stream_.queued_bytes() == 0; }
    bool was_opened_to(const std::optional<config::Endpoint>& address) const {
        return address == address_;
    }
    const core::AttemptKey& key() const { return key_; }
    HostConnections& host() { return host_; }
    const HostConnections& host() const { return host_; }
    event::Stream& stream() { return stream_; }
    const event::Stream& stream() const { return stream_; }

    Micros unused_since() const { return unused_since_; }  // loop time
    void set_unused_since(Micros now) { unused_since_ = now; }
    // Loop time at which the last exchange ended whose request was written; none: there was none.
    std::optional<Micros> exchange_ended_at() const { return exchange_ended_at_; }
    // Loop time before which the next exchange writes no request.
    void set_not_before(Micros time) { not_before_ = time; }
    void retire();  // closes the socket immediately

    void on_connected() final;
    void on_data(std::string_view bytes) final;
    void on_end() final;
    void on_error(int error) final;

  protected:
    // Called when the handshake or the rest ends while an exchange waits for it: the request can
    // be written.
    virtual void on_ready() = 0;
    // Called when the connection is lost while it rests: moves the exchange to another connection
    // and releases this one as not reusable.
    virtual void move_exchange() = 0;
    virtual void on_response_bytes(std::string_view bytes) = 0;
    virtual void on_remote_close() = 0;             // the host closed its half
    virtual void on_exchange_error(int error) = 0;  // `error` is an errno; the stream is closed

    // State changes of the exchange.
    void begin_exchange(const core::AttemptKey& key);
    void mark_request_written() { state_ = State::awaiting_response; }
    void mark_response_started() { state_ = State::receiving_body; }
    void end_exchange();

    bool request_written() const {
        return state_ == State::awaiting_response || state_ == State::receiving_body;
    }
    // Time since begin_exchange or, where the exchange waited for a rest, since its end.
    Micros elapsed() const { return loop_.now() - exchange_started_; }
    // Changes at each start and end of an exchange. Code that runs callbacks compares it to detect
    // that the exchange has ended meanwhile.
    std::uint64_t exchange_id() const { return exchange_id_; }
    bool is_current_exchange(std::uint64_t exchange_id) const {
        return exchange_id_ == exchange_id && has_exchange();
    }
    // Calls `callback` once, `delay` from now, unless the current exchange has ended by then.
    template <class Callback>
    void after_in_exchange(Micros delay, Callback callback) {
        loop_.after(delay, [this, callback = std::move(callback), exchange_id = exchange_id_,
                            alive = std::weak_ptr<bool>(alive_)] {
            if (!alive.expired() && is_current_exchange(exchange_id)) callback();
        });
    }
    Micros now() const { return loop_.now(); }

  private:
    void start_rest_timer();
    void end_rest();
    void lose_resting(DropReason reason);

    event::Loop& loop_;
    ConnectionPool& pool_;
    HostConnections& host_;
    const config::Endpoint address_;
    event::Stream stream_;
    State state_ = State::pending;
    core::AttemptKey key_ = health_check_key;
    std::uint64_t exchange_id_ = 0;
    Micros exchange_started_{0};
    Micros unused_since_{0};
    Micros not_before_{0};
    std::optional<Micros> exchange_ended_at_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace silverreach::upstream
