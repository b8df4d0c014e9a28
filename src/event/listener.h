// A listening socket that recovers from failures of accept().
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "event/fd.h"
#include "event/io_watcher.h"
#include "event/loop.h"

namespace silverreach::event {

// Accepts connections as long as its owner has capacity. After a transient error of accept() the
// waiting connections stay in the system's queue. During a lasting shortage of descriptors the
// listener first has an idle connection closed and, if there is none, accepts one waiting
// connection on a reserved descriptor and closes it if it has sent nothing.
//
// States: listening; paused after accept() failed, until the next retry; stopping, while it accepts
// what remains in the queue; closed. Used on the loop's thread.
class Listener {
  public:
    // Binds and starts to listen; port 0 selects a free port. `has_capacity` is called for each
    // accepted connection: if it returns false the connection is closed, otherwise `on_accepted`
    // receives its descriptor and the peer's IP address. Throws SystemError with a message for the
    // operator.
    Listener(Loop& loop, const std::string& ip, int port, bool v6,
             std::function<bool()> has_capacity, std::function<void(Fd, std::string)> on_accepted);
    ~Listener();
    Listener(const Listener&) = delete;
    Listener& operator=(const Listener&) = delete;

    // Sets the function that is called during a lasting shortage of descriptors. It closes an idle
    // connection, or returns false if there is none.
    void set_close_idle(std::function<bool()> close_idle) { close_idle_ = std::move(close_idle); }
    // Valid within on_accepted: the earliest time at which the connection and the first bytes of
    // its client may have arrived.
    Micros waiting_since() const { return waiting_since_; }
    int port() const { return port_; }
    // Stops the completion of further connections, accepts those that wait in the queue, with
    // retries for a limited time if accept() fails, and then closes the socket.
    void stop();
    bool listening() const { return static_cast<bool>(fd_); }

  private:
    enum class AcceptResult {
        queue_empty,
        more_waiting,  // the limit of accepts per turn was reached
        unavailable    // accept() fails; it is to be retried
    };
    void open(const std::string& ip, int port, bool v6);
    AcceptResult accept_batch();
    AcceptResult on_accept_failed(int error);
    void on_descriptor_shortage();
    void deliver(Fd fd, std::string peer_ip);
    void accept_with_spare_fd();
    void pause();
    void accept_remaining();

    Loop& loop_;
    Fd fd_;
    Fd spare_fd_;  // reserved descriptor, closed to accept a connection when descriptors run out
    int port_ = 0;
    std::function<bool()> has_capacity_;
    std::function<void(Fd, std::string)> on_accepted_;
    std::function<bool()> close_idle_;
    std::unique_ptr<IoWatcher> watcher_;
    Micros waiting_since_{0};
    Micros unwatched_since_{
        0};                     // connections may have queued since then; 0: the socket was watched
    Micros shortage_since_{0};  // start of a descriptor shortage; 0: none
    Micros stop_deadline_{0};   // 0: not stopping
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace silverreach::event
