// Stream sockets for any protocol: a buffered connection.
#pragma once

#include <functional>
#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>

#include "event/loop.h"

namespace silverreach::event {

// What a connection tells its owner. The owner may close the stream in any of these, and destroys
// it later only (Loop::after): a stream does not go while it calls.
class StreamOwner {
  public:
    virtual ~StreamOwner() = default;
    virtual void on_connected() {}
    virtual void on_data(std::string_view bytes) = 0;
    virtual void on_end() = 0;              // the other side ended its half
    virtual void on_broken(int error) = 0;  // errno; the stream is closed
    virtual void on_drained() {}            // all that was written has left
};

class Stream {
  public:
    Stream(Loop& loop, Fd fd, StreamOwner& owner, bool connecting = false);
    // One that was accepted: what comes first may have come since `waiting_since`.
    Stream(Loop& loop, Fd fd, StreamOwner& owner, Micros waiting_since);

    void write(std::string_view bytes);
    // In one call of the system where it fits; at most four pieces.
    void write(std::initializer_list<std::string_view> pieces);
    std::size_t queued() const { return out_.size() - sent_; }
    void read(bool on);  // back pressure: off, nothing is taken from the socket
    // In on_data: the earliest moment at which these bytes may have come, on the loop's clock.
    Micros arrived() const { return arrived_; }
    void close();  // at once; what is queued is lost
    void reset();  // at once, and so that the other side sees a broken connection
    void end();    // no more will be written
    bool closed() const { return !fd_; }
    bool unread() const;  // bytes, or the end, have come that the owner has not been told of
    bool left() const;    // the other side's end, or a break, is all that has come and was not told
    int fd() const { return fd_.get(); }

  private:
    void ready(int got);
    void receive();
    void flush();
    void broken(int error);
    void interest();
    void note_arrival(bool all_taken);

    Loop& loop_;
    Fd fd_;
    StreamOwner& owner_;
    std::unique_ptr<Io> io_;
    std::string out_;
    std::size_t sent_ = 0;
    bool connecting_, reading_ = true, ended_ = false, told_end_ = false;
    Micros arrived_{0};
    // What is in the socket may have come since then, while nobody looked; 0: the loop looked.
    Micros unwatched_since_{0};
    std::uint64_t watched_from_turn_ = 0;  // the loop looks from this turn on
};

// The error tells of a want on this machine (descriptors, memory, ports, a route), not of the other
// side.
bool local_shortage(int error);
// A connecting socket, not blocking; an invalid one and `error` where the system refuses at once.
Fd connect_to(const std::string& ip, int port, bool v6, int& error);

}  // namespace silverreach::event
