#include "event/stream.h"

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <utility>

#include "event/socket_address.h"

namespace silverreach::event {
namespace {
using namespace std::chrono_literals;
constexpr std::size_t max_read_bytes = std::size_t{64} * 1024;  // bytes per recv()
constexpr std::size_t max_idle_capacity_bytes =
    4096;  // bytes; an empty output buffer with more is shrunk
constexpr std::size_t max_pieces = 4;

ssize_t peek(int fd) {
    char byte;
    return ::recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
}
// The call had no effect and does not indicate a failed connection; it can be retried.
bool is_transient(int error) {
    return error == EAGAIN || error == EWOULDBLOCK || error == EINTR || error == ENOMEM ||
           error == ENOBUFS;
}
}  // namespace

Stream::Stream(Loop& loop, Fd fd, StreamOwner& owner, bool connecting)
    : loop_(loop), fd_(std::move(fd)), owner_(owner), connecting_(connecting) {
    const int on = 1;
    setsockopt(fd_.get(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    watcher_ = std::make_unique<IoWatcher>(loop, fd_.get(),
                                           [this](int conditions) { on_ready(conditions); });
    update_interest();
}

Stream::Stream(Loop& loop, Fd fd, StreamOwner& owner, Micros waiting_since)
    : Stream(loop, std::move(fd), owner, false) {
    unwatched_since_ = waiting_since;
    watched_from_turn_ = loop.turn() + 1;
}

void Stream::update_interest() {
    if (closed()) return;
    const bool wants_read = reading_ && !connecting_ && !end_reported_;
    const bool wants_write = connecting_ || queued_bytes() > 0;
    watcher_->set_interest((wants_read ? readable : none) | (wants_write ? writable : none));
}

void Stream::set_reading(bool enabled) {
    if (reading_ && !enabled && unwatched_since_ == 0us) unwatched_since_ = loop_.now();
    // Without unread input, nothing arrived while the socket was not watched, so the bytes that
    // are read later arrive from now on.
    if (!reading_ && !closed() && unwatched_since_ != 0us && !has_unread_input())
        unwatched_since_ = loop_.now();
    if (!reading_ && enabled) watched_from_turn_ = loop_.turn() + 1;
    reading_ = enabled;
    update_interest();
}

void Stream::write(std::string_view bytes) {
    write({bytes});
}
void Stream::write(std::initializer_list<std::string_view> pieces) {
    if (closed() || end_requested_) return;
    std::size_t done = 0;
    if (!connecting_ && queued_bytes() == 0) {
        std::array<iovec, max_pieces> buffers{};
        msghdr message{};
        message.msg_iov = buffers.data();
        for (const std::string_view piece : pieces)
            if (!piece.empty() && message.msg_iovlen < max_pieces)
                buffers[message.msg_iovlen++] = {const_cast<char*>(piece.data()), piece.size()};
        const ssize_t count = ::sendmsg(fd_.get(), &message, MSG_NOSIGNAL);
        // An error recurs in the next turn and is reported there, because on_error must not be
        // called from within the owner's call of write().
        done = count > 0 ? static_cast<std::size_t>(count) : 0;
    }
    const bool was_empty = queued_bytes() == 0;
    for (const std::string_view piece : pieces) {
        const std::size_t sent = std::min(done, piece.size());
        done -= sent;
        output_.append(piece.substr(sent));
    }
    if (was_empty) {
        queue_progress_at_ = loop_.now();
        unacknowledged_bytes_.reset();
    }
    update_interest();
}

void Stream::on_ready(int conditions) {
    if (closed()) return;
    if (connecting_) return finish_connect();
    if (conditions & writable) flush();
    if (!closed() && (conditions & readable) && reading_) receive();
    update_interest();
}

void Stream::finish_connect() {
    int error = 0;
    socklen_t size = sizeof error;
    getsockopt(fd_.get(), SOL_SOCKET, SO_ERROR, &error, &size);
    if (error) return fail(error);
    connecting_ = false;
    owner_.on_connected();
    if (closed()) return;
    flush();
    update_interest();
}

void Stream::receive() {
    thread_local std::array<char, max_read_bytes> buffer;
    const ssize_t count = ::recv(fd_.get(), buffer.data(), buffer.size(), 0);
    if (count > 0) {
        record_arrival(static_cast<std::size_t>(count) < buffer.size());
        return owner_.on_data({buffer.data(), static_cast<std::size_t>(count)});
    }
    if (count < 0 && is_transient(errno)) return;
    if (count < 0) return fail(errno);
    end_reported_ = true;
    owner_.on_end();
}

// The first turn that watches the socket again reads bytes that arrived while it was not watched; a
// later turn reads only bytes that arrived since the previous turn.
void Stream::record_arrival(bool socket_emptied) {
    const bool unwatched = unwatched_since_ != 0us && loop_.turn() <= watched_from_turn_;
    arrived_at_ = unwatched ? unwatched_since_ : loop_.ready_since();
    unwatched_since_ = 0us;
    if (socket_emptied) return;
    unwatched_since_ = arrived_at_;
    watched_from_turn_ = loop_.turn() + 1;
}

void Stream::flush() {
    if (queued_bytes() == 0) return;
    const ssize_t count =
        ::send(fd_.get(), output_.data() + sent_bytes_, queued_bytes(), MSG_NOSIGNAL);
    if (count < 0 && is_transient(errno)) return;
    if (count < 0) return fail(errno);
    sent_bytes_ += static_cast<std::size_t>(count);
    queue_progress_at_ = loop_.now();
    if (queued_bytes() > 0) {
        if (sent_bytes_ > max_read_bytes) output_.erase(0, std::exchange(sent_bytes_, 0));
        return;
    }
    output_.clear();
    sent_bytes_ = 0;
    if (output_.capacity() > max_idle_capacity_bytes) output_.shrink_to_fit();
    if (end_requested_) ::shutdown(fd_.get(), SHUT_WR);
    owner_.on_drained();
}

void Stream::update_queue_progress() {
    int unacknowledged_bytes = 0;
    if (closed() || queued_bytes() == 0) return;
    if (::ioctl(fd_.get(), SIOCOUTQ, &unacknowledged_bytes) != 0) return;
    const auto previous_bytes = std::exchange(unacknowledged_bytes_, unacknowledged_bytes);
    if (!previous_bytes || unacknowledged_bytes < *previous_bytes) queue_progress_at_ = loop_.now();
}

void Stream::fail(int error) {
    close();
    owner_.on_error(error);
}

bool Stream::has_unread_input() const {
    if (closed()) return false;
    return peek(fd_.get()) >= 0 || !is_transient(errno);
}

bool Stream::peer_closed() const {
    if (closed() || end_reported_) return true;
    const ssize_t count = peek(fd_.get());
    if (count == 0 || (count < 0 && !is_transient(errno))) return true;
    if (count < 0) return false;
    // The peer's end may follow unread bytes.
    pollfd poll_end{fd_.get(), POLLRDHUP, 0};
    return ::poll(&poll_end, 1, 0) > 0 && (poll_end.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

void Stream::close() {
    if (watcher_) watcher_->set_interest(none);
    fd_.reset();
}
void Stream::reset() {
    if (closed()) return;
    const linger abortive{1, 0};
    setsockopt(fd_.get(), SOL_SOCKET, SO_LINGER, &abortive, sizeof abortive);
    close();
}
void Stream::end() {
    if (closed() || std::exchange(end_requested_, true)) return;
    if (queued_bytes() == 0) ::shutdown(fd_.get(), SHUT_WR);
}

bool is_local_shortage(int error) {
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
    if (!fd) {
        error = errno;
        return {};
    }
    SocketAddress address(ip, port, v6);
    // A connect that a signal interrupts continues in the background like one in progress.
    const bool started = ::connect(fd.get(), address.get(), address.size) == 0 ||
                         errno == EINPROGRESS || errno == EINTR;
    if (!started) {
        error = errno;
        return {};
    }
    return fd;
}

}  // namespace silverreach::event
