#include "event/stream.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <unistd.h>

#include <cstring>
#include <stdexcept>

namespace silverreach::event {
namespace {
using namespace std::chrono_literals;
constexpr std::size_t read_size = 64 * 1024, keep_capacity = 4096, most_pieces = 4;
constexpr int accepts_a_turn = 64;

struct Address {
    sockaddr_storage storage{};
    socklen_t size = 0;
    sockaddr* get() { return reinterpret_cast<sockaddr*>(&storage); }
};
Address address_of(const std::string& ip, int port, bool v6) {
    Address a;
    if (v6) {
        auto* six = reinterpret_cast<sockaddr_in6*>(&a.storage);
        six->sin6_family = AF_INET6, six->sin6_port = htons(static_cast<std::uint16_t>(port));
        inet_pton(AF_INET6, ip.c_str(), &six->sin6_addr);
        a.size = sizeof *six;
    } else {
        auto* four = reinterpret_cast<sockaddr_in*>(&a.storage);
        four->sin_family = AF_INET, four->sin_port = htons(static_cast<std::uint16_t>(port));
        inet_pton(AF_INET, ip.c_str(), &four->sin_addr);
        a.size = sizeof *four;
    }
    return a;
}
std::string text_of(const sockaddr_storage& a) {
    char text[INET6_ADDRSTRLEN] = "";
    if (a.ss_family == AF_INET6)
        inet_ntop(AF_INET6, &reinterpret_cast<const sockaddr_in6&>(a).sin6_addr, text, sizeof text);
    else inet_ntop(AF_INET, &reinterpret_cast<const sockaddr_in&>(a).sin_addr, text, sizeof text);
    return text;
}
ssize_t peek(int fd) {
    char byte;
    return ::recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
}
// The call did nothing and says nothing of the connection: it can be made again.
bool retry_later(int error) {
    return error == EAGAIN || error == EWOULDBLOCK || error == EINTR || error == ENOMEM || error == ENOBUFS;
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
    if (!reading_ && !closed() && unwatched_since_ != 0us && !unread()) unwatched_since_ = loop_.now();
    if (!reading_ && on) watched_from_turn_ = loop_.turn() + 1;
    reading_ = on;
    interest();
}

void Stream::write(std::string_view bytes) { write({bytes}); }
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
        // An error shows again at the next turn, where the owner can be told without being in its own call.
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

// The first turn that watches again finds what came while nobody did; a later one only what came since the
// last.
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

Listener::Listener(Loop& loop, const std::string& ip, int port, bool v6, std::function<bool()> room,
                   std::function<void(Fd, std::string)> accepted)
    : loop_(loop),
      spare_(::open("/dev/null", O_RDONLY | O_CLOEXEC)),
      room_(std::move(room)),
      accepted_(std::move(accepted)) {
    const auto fail = [&](const char* what) {
        throw std::runtime_error("listening on " + ip + " port " + std::to_string(port) + ": " + what + ": " +
                                 std::strerror(errno));
    };
    fd_ = Fd(::socket(v6 ? AF_INET6 : AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    if (!fd_) fail("socket");
    const int on = 1;
    setsockopt(fd_.get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    Address a = address_of(ip, port, v6);
    if (::bind(fd_.get(), a.get(), a.size) != 0) fail("bind");
    if (::listen(fd_.get(), SOMAXCONN) != 0) fail("listen");
    a.size = sizeof a.storage;
    getsockname(fd_.get(), a.get(), &a.size);
    port_ = ntohs(reinterpret_cast<sockaddr_in*>(&a.storage)->sin_port);
    io_ = std::make_unique<Io>(loop, fd_.get(), [this](int) { accept_some(); });
    io_->want(readable);
}

void Listener::stop() {
    // What the system has taken in its name would be reset. Bounded, as more may go on coming.
    for (int turn = 0; turn < SOMAXCONN / accepts_a_turn && accept_some(); ++turn) {
    }
    io_->want(none);
    fd_.reset();
}

bool Listener::accept_some() {
    for (int i = 0; i < accepts_a_turn && fd_; ++i) {
        sockaddr_storage from{};
        socklen_t size = sizeof from;
        const int fd =
            ::accept4(fd_.get(), reinterpret_cast<sockaddr*>(&from), &size, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (fd >= 0) {
            Fd taken(fd);
            if (room_()) accepted_(std::move(taken), text_of(from));
            continue;
        }
        if (errno == ECONNABORTED || errno == EINTR) continue;
        // Out of descriptors: one more connection is taken with the spare one and closed at once, so that the
        // client learns it and this loop does not spin on a socket that stays readable.
        if ((errno == EMFILE || errno == ENFILE) && spare_) {
            spare_.reset();
            Fd(::accept4(fd_.get(), nullptr, nullptr, SOCK_CLOEXEC)).reset();
            spare_ = Fd(::open("/dev/null", O_RDONLY | O_CLOEXEC));
            continue;
        }
        if (errno == EMFILE || errno == ENFILE || errno == ENOBUFS || errno == ENOMEM) {
            io_->want(none);
            loop_.after(100ms, [this] {
                if (!spare_) spare_ = Fd(::open("/dev/null", O_RDONLY | O_CLOEXEC));
                if (fd_) io_->want(readable);
            });
        }
        return false;
    }
    return static_cast<bool>(fd_);
}

Fd connect_to(const std::string& ip, int port, bool v6, int& error) {
    Fd fd(::socket(v6 ? AF_INET6 : AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    error = 0;
    if (!fd) return error = errno, Fd();
    Address a = address_of(ip, port, v6);
    if (::connect(fd.get(), a.get(), a.size) != 0 && errno != EINPROGRESS) return error = errno, Fd();
    return fd;
}

}  // namespace silverreach::event
