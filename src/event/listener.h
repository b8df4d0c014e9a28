// A listening socket that keeps accepting through moments in which accept fails.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "event/fd.h"
#include "event/io_watcher.h"
#include "event/loop.h"

namespace silverreach::event {

// Accepts connections as long as its owner has capacity. A transient error of accept leaves the
// waiting connections in the system's queue; a lasting shortage of descriptors closes something
// idle first, and only then a connection that has sent nothing.
//
// States: listening; paused, after accept failed, until the next retry; stopping, which empties the
// queue; closed. Used on the loop's thread.
class Listener {
  public:
    // Binds and listens at once; port 0 takes a free one. `has_capacity` is called for each
    // connection: where it returns false the connection is closed at once, else `on_accepted` gets
    // it with the peer's address. Throws SystemError with a plain message.
    Listener(Loop& loop, const std::string& ip, int port, bool v6,
             std::function<bool()> has_capacity, std::function<void(Fd, std::string)> on_accepted);
    ~Listener();
    Listener(const Listener&) = delete;
    Listener& operator=(const Listener&) = delete;

    // Called while descriptors stay short: closes something idle, or returns false where there is
    // nothing.
    void on_shortage(std::function<bool()> close_idle) { close_idle_ = std::move(close_idle); }
    // Within on_accepted: since when the connection, with what its client wrote, may have waited.
    Micros waiting_since() const { return waiting_since_; }
    int port() const { return port_; }
    // Lets the system complete no further connection, accepts those that wait, retrying for a while
    // where that fails, then closes.
    void stop();
    bool listening() const { return static_cast<bool>(fd_); }

  private:
    enum class AcceptResult {
        queue_empty,
        more_waiting,  // the limit of one turn was reached
        unavailable    // accept fails, for now
    };
    void open(const std::string& ip, int port, bool v6);
    AcceptResult accept_batch();
    AcceptResult on_accept_failed(int error);
    void on_descriptor_shortage();
    void deliver(Fd fd, std::string client);
    void accept_with_spare();
    void pause();
    void accept_remaining();

    Loop& loop_;
    Fd fd_;
    Fd spare_;  // closed for a moment to accept a connection when descriptors run out
    int port_ = 0;
    std::function<bool()> has_capacity_;
    std::function<void(Fd, std::string)> on_accepted_;
    std::function<bool()> close_idle_;
    std::unique_ptr<IoWatcher> watcher_;
    Micros waiting_since_{0};
    Micros unwatched_since_{0};  // the queue may have filled since then; 0: it was watched
    Micros shortage_since_{0};   // of descriptors; 0: none
    Micros stop_deadline_{0};    // 0: not stopping
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace silverreach::event
