// A buffered stream socket, for any protocol.
#pragma once

#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>

#include "event/fd.h"
#include "event/io_watcher.h"
#include "event/loop.h"

namespace silverreach::event {

// Receives the events of a stream, on the loop's thread. It may close the stream in any of these,
// but destroys it only later (Loop::after, DeferredDeletion): a stream must outlive its callbacks.
class StreamOwner {
  public:
    virtual ~StreamOwner() = default;
    virtual void on_connected() {}
    virtual void on_data(std::string_view bytes) = 0;
    virtual void on_end() = 0;              // the peer ended its half
    virtual void on_broken(int error) = 0;  // an errno; the stream is closed
    virtual void on_drained() {}            // all that was written has been sent
};

// States: connecting (only for outgoing ones), open, ended (no more is written), closed. Used on
// the loop's thread; loop and owner must outlive it.
class Stream {
  public:
    // Takes the descriptor; `connecting`: its connect is still under way.
    Stream(Loop& loop, Fd fd, StreamOwner& owner, bool connecting = false);
    // An accepted connection, whose first bytes may have arrived since `waiting_since`.
    Stream(Loop& loop, Fd fd, StreamOwner& owner, Micros waiting_since);

    // Sends what the system takes at once and queues the rest. No bound of its own: the owner looks
    // at queued(). Does nothing once ended or closed.
    void write(std::string_view bytes);
    // The same for several pieces with one system call; at most four.
    void write(std::initializer_list<std::string_view> pieces);
    std::size_t queued() const { return out_.size() - sent_; }  // bytes
    // Back pressure: while off, nothing is read from the socket.
    void read(bool on);
    // In on_data: the earliest moment at which these bytes may have arrived, on the loop's clock.
    Micros arrived() const { return arrived_; }
    void close();  // at once; what is queued is lost
    void reset();  // at once, and so that the peer sees a broken connection
    void end();    // ends this half once what is queued has been sent
    bool closed() const { return !fd_; }
    // Whether bytes, or the end, have arrived that on_data or on_end has not reported.
    bool unread() const;
    // Whether the peer has ended or broken the connection, reported or not, behind bytes that were
    // not read too.
    bool peer_closed() const;
    int fd() const { return fd_.get(); }

  private:
    void on_ready(int conditions);
    void finish_connect();
    void receive();
    void flush();
    void fail(int error);
    void update_interest();
    void note_arrival(bool socket_emptied);

    Loop& loop_;
    Fd fd_;
    StreamOwner& owner_;
    std::unique_ptr<IoWatcher> watcher_;
    std::string out_;
    std::size_t sent_ = 0;  // bytes of out_
    bool connecting_;
    bool reading_ = true;
    bool ended_ = false;         // by end()
    bool end_reported_ = false;  // by on_end()
    Micros arrived_{0};
    // What is in the socket may have arrived since then, while it was not watched; 0: it was.
    Micros unwatched_since_{0};
    std::uint64_t watched_from_turn_ = 0;  // the loop watches it from this turn on
};

// Whether a failed connect is due to a shortage on this machine (descriptors, memory, ports, a
// route) and says nothing of the other side. `error`: an errno.
bool local_shortage(int error);
// Starts a non-blocking connect and returns its socket. Where the system refuses at once, returns
// an invalid one and sets `error` to the errno, else to 0.
Fd connect_to(const std::string& ip, int port, bool v6, int& error);

}  // namespace silverreach::event
