#include "event/stream.h"

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <unistd.h>

#include <cstring>

#include "event/socket_address.h"

namespace silverreach::event {
namespace {
using namespace std::chrono_literals;
constexpr std::size_t read_size = 64 * 1024, keep_capacity = 4096, most_pieces = 4;

ssize_t peek(int fd) {
    char byte;
    return ::recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
}
// The call did nothing and says nothing of the connection: it can be made again.
bool retry_later(int error) {
    return error == EAGAIN || error == EWOULDBLOCK || error == EINTR || error == ENOMEM ||
           error == ENOBUFS;
}
}  // namespace

Stream::Stream(Loop& loop, Fd fd, StreamOwner& owner, bool connecting)
    : loop_(loop), fd_(std::move(fd)), owner_(owner), connecting_(connecting) {
    const int on = 1;
    setsockopt(fd_.get(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    io_ = std::make_unique<Io>(loop, fd_.get(), [this](int got) { ready(got); });
    interest();
}

Stream::Stream(Loop& loop, Fd fd, StreamOwner& owner, Micros waiting_since)
    : Stream(loop, std::move(fd), owner, false) {
    unwatched_since_ = waiting_since;
    watched_from_turn_ = loop.turn() + 1;
}

void Stream::interest() {
    if (closed()) return;
    const bool out = connecting_ || queued() > 0;
    io_->want((reading_ && !connecting_ && !told_end_ ? readable : none) | (out ? writable : none));
}
void Stream::read(bool on) {
    if (reading_ && !on && unwatched_since_ == 0us) unwatched_since_ = loop_.now();
    // Nothing has come while nobody looked: as if the loop had.
    if (!reading_ && !closed() && unwatched_since_ != 0us && !unread())
        unwatched_since_ = loop_.now();
    if (!reading_ && on) watched_from_turn_ = loop_.turn() + 1;
    reading_ = on;
    interest();
}

void Stream::write(std::string_view bytes) {
    write({bytes});
}
void Stream::write(std::initializer_list<std::string_view> pieces) {
    if (closed() || ended_) return;
    std::size_t done = 0;
    if (!connecting_ && queued() == 0) {
        iovec parts[most_pieces];
        msghdr message{};
        message.msg_iov = parts;
        for (const std::string_view piece : pieces)
            if (!piece.empty() && message.msg_iovlen < most_pieces)
                parts[message.msg_iovlen++] = {const_cast<char*>(piece.data()), piece.size()};
        const ssize_t n = ::sendmsg(fd_.get(), &message, MSG_NOSIGNAL);
        // An error shows again at the next turn, where the owner can be told without being in its
        // own call.
        done = n > 0 ? static_cast<std::size_t>(n) : 0;
    }
    for (const std::string_view piece : pieces) {
        const std::size_t sent = std::min(done, piece.size());
        done -= sent;
        out_.append(piece.substr(sent));
    }
    interest();
}

void Stream::ready(int got) {
    if (closed()) return;
    if (connecting_) {
        int error = 0;
        socklen_t size = sizeof error;
        getsockopt(fd_.get(), SOL_SOCKET, SO_ERROR, &error, &size);
        if (error) return broken(error);
        connecting_ = false;
        owner_.on_connected();
        if (closed()) return;
        flush();
        return interest();
    }
    if (got & writable) flush();
    if (!closed() && (got & readable) && reading_) receive();
    interest();
}

void Stream::receive() {
    thread_local char buffer[read_size];
    const ssize_t n = ::recv(fd_.get(), buffer, sizeof buffer, 0);
    if (n > 0) {
        note_arrival(static_cast<std::size_t>(n) < sizeof buffer);
        return owner_.on_data({buffer, static_cast<std::size_t>(n)});
    }
    if (n < 0 && retry_later(errno)) return;
    if (n < 0) return broken(errno);
    told_end_ = true;
    owner_.on_end();
}

// The first turn that watches again finds what came while nobody did; a later one only what came
// since the last.
void Stream::note_arrival(bool all_taken) {
    const bool unwatched = unwatched_since_ != 0us && loop_.turn() <= watched_from_turn_;
    arrived_ = unwatched ? unwatched_since_ : loop_.ready_since();
    unwatched_since_ = 0us;
    if (all_taken) return;
    unwatched_since_ = arrived_;
    watched_from_turn_ = loop_.turn() + 1;
}

void Stream::flush() {
    if (queued() == 0) return;
    const ssize_t n = ::send(fd_.get(), out_.data() + sent_, queued(), MSG_NOSIGNAL);
    if (n < 0 && retry_later(errno)) return;
    if (n < 0) return broken(errno);
    sent_ += static_cast<std::size_t>(n);
    if (queued() > 0) {
        if (sent_ > read_size) out_.erase(0, std::exchange(sent_, 0));
        return;
    }
    out_.clear(), sent_ = 0;
    if (out_.capacity() > keep_capacity) out_.shrink_to_fit();
    if (ended_) ::shutdown(fd_.get(), SHUT_WR);
    owner_.on_drained();
}

void Stream::broken(int error) {
    close();
    owner_.on_broken(error);
}
bool Stream::unread() const {
    if (closed()) return false;
    const ssize_t n = peek(fd_.get());
    return n >= 0 || !retry_later(errno);
}
bool Stream::left() const {
    if (closed() || told_end_) return true;
    const ssize_t n = peek(fd_.get());
    if (n == 0 || (n < 0 && !retry_later(errno))) return true;
    if (n < 0) return false;
    // The end may stand behind bytes that were not read.
    pollfd look{fd_.get(), POLLRDHUP, 0};
    return ::poll(&look, 1, 0) > 0 && (look.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}
void Stream::close() {
    if (io_) io_->want(none);
    fd_.reset();
}
void Stream::reset() {
    if (closed()) return;
    const linger now{1, 0};
    setsockopt(fd_.get(), SOL_SOCKET, SO_LINGER, &now, sizeof now);
    close();
}
void Stream::end() {
    if (closed() || std::exchange(ended_, true)) return;
    if (queued() == 0) ::shutdown(fd_.get(), SHUT_WR);
}

bool local_shortage(int error) {
    switch (error) {
        case EMFILE:
        case ENFILE:
        case ENOBUFS:
        case ENOMEM:
        case EADDRNOTAVAIL:
        case EADDRINUSE:
        case EAGAIN:
        case ENETUNREACH:
        case ENETDOWN:
        case EACCES:
        case EPERM:
            return true;
        default:
            return false;
    }
}

Fd connect_to(const std::string& ip, int port, bool v6, int& error) {
    Fd fd(::socket(v6 ? AF_INET6 : AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    error = 0;
    if (!fd) return error = errno, Fd();
    SocketAddress a(ip, port, v6);
    // Interrupted, it goes on by itself like one under way.
    const bool under_way =
        ::connect(fd.get(), a.get(), a.size) == 0 || errno == EINPROGRESS || errno == EINTR;
    if (!under_way) return error = errno, Fd();
    return fd;
}

}  // namespace silverreach::event
