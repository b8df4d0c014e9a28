// What the connections of clients have in common below their protocol: the stream, its limits of
// time, the lingering close and deferred deletion.
//
// States, which each protocol refines:   open -> lingering -> closed,   open -> closed
#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>

#include "event/arrival_log.h"
#include "event/fd.h"
#include "event/stream.h"

namespace silverreach::frontend {

using event::Micros;

class ConnectionManager;

// Owned by its ConnectionManager, which must outlive it; used on the loop's thread.
class ClientConnection : public event::StreamOwner {
  public:
    // What a connection can wait for. Each wait has a limit of its own; they are checked in this
    // order.
    enum class Wait {
        client_end,     // lingering: the client is to end its half as well
        first_message,  // nothing complete has been received yet
        idle,           // between messages
        drain,          // the connection is to end once nothing is owed to its client
        message_rest,   // of a message that has begun
        response_read   // the client is to read what was written
    };
    // In the order in which connections are evicted, last first.
    enum class EvictionPriority {
        none,       // carries work: never evicted
        idle,       // between messages
        no_message  // nothing complete has been received
    };

    // `waiting_since`: when the accepted connection may have entered the system's queue.
    ClientConnection(ConnectionManager& manager, event::Fd fd, Micros waiting_since);
    ~ClientConnection() override;
    ClientConnection(const ClientConnection&) = delete;
    ClientConnection& operator=(const ClientConnection&) = delete;

    // Ends what has waited too long. The connection may be closed afterwards.
    void check_timeouts();

    // ---- eviction; a protocol that does not evict leaves these as they are ----
    virtual EvictionPriority eviction_priority() const { return EvictionPriority::none; }
    // Whether nothing is lost by a close now: no work, and nothing received that was not read.
    // Costs a system call.
    virtual bool at_rest() const { return false; }
    virtual void evict() {}
    // Called for the connection that has lingered longest where too many do.
    virtual void abort_lingering() {}

    bool lingering() const { return lingering_; }  // stays true once closed
    // The client has closed its side, even if the loop has not reported it yet.
    bool peer_closed() const { return stream_.peer_closed(); }
    Micros wait_started() const { return wait_started_; }

  protected:
    struct PendingWait {
        Micros since{0};
        Micros limit{0};
    };
    // The wait if it is under way now.
    virtual std::optional<PendingWait> pending_wait(Wait wait) const = 0;
    // A wait has reached its limit. Returns whether that was acted upon; the later ones are then
    // not checked.
    virtual bool on_wait_expired(Wait wait) = 0;

    event::Loop& loop() const { return loop_; }
    ConnectionManager& manager() const { return manager_; }
    // Calls `callback` after `delay` unless the connection has been destroyed.
    void call_later(Micros delay, std::function<void()> callback);
    // Ends this half once all has been sent, and goes on reading what the client still sends: a
    // close over unread bytes makes the system reset the connection and discard responses that the
    // client has not received yet.
    void start_lingering_close();
    // Leaves the manager and is destroyed at the loop's next turn. To be called once, when closed.
    void schedule_deletion();

    // first_message, idle, message_rest or client_end begins.
    void start_wait(Micros now) { wait_started_ = now; }

    // Of the bytes that the protocol has not consumed.
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
    std::size_t slot_ = 0;  // in the manager's list
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace silverreach::frontend
