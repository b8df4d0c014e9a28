// A buffered stream socket, independent of the protocol.
#pragma once

#include <initializer_list>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "event/fd.h"
#include "event/io_watcher.h"
#include "event/loop.h"

namespace silverreach::event {

// Receives the events of a stream on the loop's thread. The owner may close the stream in any
// callback but must destroy it later (Loop::after, DeferredDeletion), because a stream must outlive
// its callbacks.
class StreamOwner {
  public:
    virtual ~StreamOwner() = default;
    virtual void on_connected() {}
    virtual void on_data(std::string_view bytes) = 0;
    virtual void on_end() = 0;             // the peer closed its half of the connection
    virtual void on_error(int error) = 0;  // `error` is an errno; the stream is closed
    virtual void on_drained() {}           // all queued bytes have been sent
};

// States: connecting (outgoing connections only), open, ended (no further writes), closed. Used on
// the loop's thread; loop and owner must outlive it.
class Stream {
  public:
    // Takes ownership of `fd`. `connecting`: the connect is still in progress.
    Stream(Loop& loop, Fd fd, StreamOwner& owner, bool connecting = false);
    // An accepted connection, whose first bytes may have arrived since `waiting_since`.
    Stream(Loop& loop, Fd fd, StreamOwner& owner, Micros waiting_since);

    // Sends what the system accepts immediately and queues the rest. The queue is not limited: the
    // owner checks queued_bytes(). Does nothing after end(), close() or reset().
    void write(std::string_view bytes);
    // As above for several pieces, which are passed to one system call; at most four.
    void write(std::initializer_list<std::string_view> pieces);
    std::size_t queued_bytes() const { return output_.size() - sent_bytes_; }  // bytes
    // The time of the last progress of the queue, on the loop's clock: it became non-empty, or the
    // system accepted bytes of it, or the peer acknowledged bytes.
    Micros queue_progress_at() const { return queue_progress_at_; }
    // Detects what the peer has acknowledged since the last call; the first call for a queue counts
    // as progress. The system accepts bytes of the queue in steps of up to megabytes; between two
    // of them this is the only sign of progress.
    void update_queue_progress();
    // Back pressure: while `enabled` is false, nothing is read from the socket.
    void set_reading(bool enabled);
    // Valid in on_data: the earliest time at which its bytes may have arrived, on the loop's clock.
    Micros arrived_at() const { return arrived_at_; }
    void close();  // closes the socket immediately and discards queued bytes
    void reset();  // like close(), but the peer receives a TCP reset
    void end();    // closes the sending half once the queued bytes have been sent
    bool closed() const { return !fd_; }
    // Whether unread bytes, the peer's end or an error wait in the socket. The end counts even
    // after on_end() has reported it.
    bool has_unread_input() const;
    // Whether the peer has closed its half or the connection has failed. Includes an end that is
    // not yet reported or follows unread bytes.
    bool peer_closed() const;
    int fd() const { return fd_.get(); }

  private:
    void on_ready(int conditions);
    void finish_connect();
    void receive();
    void flush();
    void fail(int error);
    void update_interest();
    void record_arrival(bool socket_emptied);

    Loop& loop_;
    Fd fd_;
    StreamOwner& owner_;
    std::unique_ptr<IoWatcher> watcher_;
    std::string output_;
    std::size_t sent_bytes_ = 0;  // number of bytes of output_ that have been sent
    Micros queue_progress_at_{0};
    // Of the bytes that the system accepted, at the last update; none: no update since the queue
    // became non-empty.
    std::optional<int> unacknowledged_bytes_;
    bool connecting_;
    bool reading_ = true;
    bool end_requested_ = false;  // end() was called
    bool end_reported_ = false;   // on_end() was called
    Micros arrived_at_{0};
    // Bytes in the socket may have arrived since then, while it was not watched; 0: it was watched.
    Micros unwatched_since_{0};
    std::uint64_t watched_from_turn_ = 0;  // first turn in which the loop watches the socket
};

// Whether the errno of a failed connect has a local cause (no descriptor, memory, port, route or
// permission), which is not a fault of the peer.
bool is_local_shortage(int error);
// Starts a non-blocking connect and returns its socket, with `error` set to 0. If a system call
// fails immediately, returns an invalid descriptor and sets `error` to the errno.
Fd connect_to(const std::string& ip, int port, bool v6, int& error);

}  // namespace silverreach::event
