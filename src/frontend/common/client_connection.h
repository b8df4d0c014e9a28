// The part of a client connection that does not depend on its protocol: the stream, its timeouts,
// the lingering close and deferred deletion.
//
// States, which each protocol refines:   open -> lingering -> closed,   open -> closed
#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>

#include "event/arrival_log.h"
#include "event/buffer_budget.h"
#include "event/fd.h"
#include "event/stream.h"

namespace silverreach::frontend {

using event::Micros;

class ConnectionManager;

// Owned by its ConnectionManager, which must outlive it; used on the loop's thread.
class ClientConnection : public event::StreamOwner {
  public:
    // What a connection can wait for. Each wait has a limit of its own; the limits are checked in
    // this order.
    enum class Wait {
        client_close,        // while lingering, for the client to close its side
        first_message,       // no complete message has been received yet
        idle,                // between messages
        drain,               // the connection closes once no response is pending
        message_completion,  // for the rest of a message
        response_read        // for the client to read what was written
    };
    // Connections with a higher value are evicted first.
    enum class EvictionPriority {
        none,       // has work in progress: never evicted
        idle,       // between messages
        no_message  // no complete message has been received
    };

    // `waiting_since`: the earliest time at which the connection may have entered the system's
    // accept queue.
    ClientConnection(ConnectionManager& manager, event::Fd fd, Micros waiting_since);
    ~ClientConnection() override;
    ClientConnection(const ClientConnection&) = delete;
    ClientConnection& operator=(const ClientConnection&) = delete;

    // Acts on waits that have reached their limit. The connection may be closed afterwards.
    void check_timeouts();

    // ---- eviction; overridden by protocols that evict connections ----
    virtual EvictionPriority eviction_priority() const { return EvictionPriority::none; }
    // Whether the connection can be closed without loss: it has no work in progress, and all
    // received bytes have been read. Costs a system call.
    virtual bool is_quiescent() const { return false; }
    virtual void evict() {}
    // Returns the bytes of the budget that are freed by ending the connection, where no complete
    // message that waits for its response is lost, or the client does not read responses. 0: there
    // are none.
    virtual std::size_t droppable_bytes(const event::BufferBudget&) const { return 0; }
    // Ends the connection to free these bytes.
    virtual void drop(const event::BufferBudget&) {}
    // Called for the connection that has lingered longest when too many are lingering.
    virtual void abort_lingering() {}

    bool is_lingering() const { return lingering_; }  // stays true once closed
    // Whether the client has closed its side, even if the loop has not reported that yet.
    bool peer_closed() const { return stream_.peer_closed(); }
    Micros wait_started() const { return wait_started_; }

  protected:
    struct PendingWait {
        Micros since{0};
        Micros limit{0};
    };
    // Returns the start and limit of the wait if it is in progress.
    virtual std::optional<PendingWait> pending_wait(Wait wait) const = 0;
    // Called before the waits are checked, to account for what was sent meanwhile.
    virtual void update_buffered() {}
    // Handles a wait that has reached its limit. Returns whether the connection acted on it; the
    // later waits are then not checked.
    virtual bool on_wait_expired(Wait wait) = 0;

    event::Loop& loop() const { return loop_; }
    ConnectionManager& manager() const { return manager_; }
    // Calls `callback` after `delay` unless the connection has been destroyed.
    void call_later(Micros delay, std::function<void()> callback);
    // Closes this side once everything has been sent, and continues to read what the client sends:
    // if a socket is closed with unread bytes, the system resets the connection and discards
    // responses that the client has not received yet.
    void start_lingering_close();
    // Removes the connection from the manager and destroys it in the loop's next turn. Must be
    // called once, when the connection is closed.
    void schedule_deletion();

    // Starts the wait first_message, idle, message_completion or client_close.
    void start_wait(Micros now) { wait_started_ = now; }

    // The arrival times of the bytes that the protocol has not consumed.
    event::ArrivalLog& arrivals() { return arrivals_; }
    event::Stream& stream() { return stream_; }
    const event::Stream& stream() const { return stream_; }

  private:
    friend class ConnectionManager;

    ConnectionManager& manager_;
    event::Loop& loop_;
    event::Stream stream_;
    event::ArrivalLog arrivals_;
    Micros wait_started_;
    bool lingering_ = false;
    std::size_t slot_ = 0;  // index in the manager's list
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace silverreach::frontend
