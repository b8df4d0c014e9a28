#include "event/listener.h"

#include <errno.h>
#include <fcntl.h>
#include <linux/filter.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cstring>
#include <stdexcept>

#include "event/socket_address.h"

namespace silverreach::event {
namespace {
using namespace std::chrono_literals;
constexpr int accepts_a_turn = 64;
constexpr Micros retry_period = 10ms;
constexpr Micros shortage_passes = 100ms;  // until something idle is given up for it
constexpr Micros shortage_lasts = 1s;      // until a connection without a word is closed for it
constexpr Micros stop_most = 2s;           // for the last look at the queue

Fd open_spare() {
    return Fd(::open("/dev/null", O_RDONLY | O_CLOEXEC));
}

// No connection comes up any more, and those in the queue stay: without this one that comes up
// between the last look and the close is reset. Where the system refuses it, that moment stays.
void let_nothing_come_up(int fd) {
    sock_filter drop_all{BPF_RET | BPF_K, 0, 0, 0};
    const sock_fprog program{1, &drop_all};
    setsockopt(fd, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof program);
}

// Errors of the one connection that was to be taken: the next may be well.
bool of_one_connection(int error) {
    switch (error) {
        case ECONNABORTED:
        case EINTR:
        case EPROTO:
        case EPERM:
        case ETIMEDOUT:
        case ENETDOWN:
        case ENOPROTOOPT:
        case EHOSTDOWN:
        case ENONET:
        case EHOSTUNREACH:
        case EOPNOTSUPP:
        case ENETUNREACH:
            return true;
        default:
            return false;
    }
}
bool somebody_waits(int fd) {
    pollfd look{fd, POLLIN, 0};
    return ::poll(&look, 1, 0) > 0;
}
bool has_bytes(int fd) {
    char byte;
    return ::recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}
}  // namespace

Listener::Listener(Loop& loop, const std::string& ip, int port, bool v6, std::function<bool()> room,
                   std::function<void(Fd, std::string)> accepted)
    : loop_(loop), spare_(open_spare()), room_(std::move(room)), accepted_(std::move(accepted)) {
    const auto fail = [&](const char* what) {
        throw SystemRefused("listening on " + ip + " port " + std::to_string(port) + ": " + what +
                            ": " + std::strerror(errno));
    };
    fd_ = Fd(::socket(v6 ? AF_INET6 : AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    if (!fd_) fail("socket");
    const int on = 1;
    setsockopt(fd_.get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    SocketAddress address(ip, port, v6);
    if (::bind(fd_.get(), address.get(), address.size) != 0) fail("bind");
    if (::listen(fd_.get(), SOMAXCONN) != 0) fail("listen");
    address.size = sizeof address.storage;
    getsockname(fd_.get(), address.get(), &address.size);
    port_ = address.port();
    io_ = std::make_unique<Io>(loop, fd_.get(), [this](int) {
        if (accept_some() == Took::none) pause();
    });
    io_->want(readable);
}
Listener::~Listener() = default;

void Listener::stop() {
    if (!fd_ || stop_by_ != 0us) return;
    stop_by_ = loop_.now() + stop_most;
    let_nothing_come_up(fd_.get());
    io_->want(none);
    take_rest();
}

// Bounded, as where the filter is refused more may go on coming.
void Listener::take_rest() {
    Took took = Took::some;
    for (int turn = 0; turn < SOMAXCONN / accepts_a_turn && took == Took::some; ++turn)
        took = accept_some();
    if (took == Took::none && loop_.now() < stop_by_) {
        loop_.after(retry_period, [this, alive = std::weak_ptr<bool>(alive_)] {
            if (!alive.expired()) take_rest();
        });
        return;
    }
    fd_.reset();
}

Listener::Took Listener::accept_some() {
    waiting_since_ = unwatched_since_ != 0us ? unwatched_since_ : loop_.ready_since();
    int taken = 0;
    for (int i = 0; i < accepts_a_turn; ++i) {
        SocketAddress from;
        const int fd = ::accept4(fd_.get(), from.get(), &from.size, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (fd < 0) {
            const int error = errno;
            if (of_one_connection(error)) continue;
            if (error != EAGAIN && error != EWOULDBLOCK) return accept_failed(error);
            unwatched_since_ = short_since_ = 0us;
            return Took::all;
        }
        short_since_ = 0us;
        ++taken;
        take(Fd(fd), from.ip());
        if (!spare_) spare_ = open_spare();
    }
    unwatched_since_ = waiting_since_;
    return taken > 0 ? Took::some : Took::none;
}

void Listener::take(Fd fd, std::string client) {
    if (room_()) accepted_(std::move(fd), std::move(client));
}

// The queue keeps what waits. A shortage of a moment is waited for; in one that lasts something
// idle goes first, and only then a connection that has said nothing.
Listener::Took Listener::accept_failed(int error) {
    unwatched_since_ = waiting_since_;
    relieve(error);
    // accept fails for want of a descriptor though nobody waits: what comes next has come since
    // now.
    if (!somebody_waits(fd_.get())) unwatched_since_ = loop_.now();
    return Took::none;
}

void Listener::relieve(int error) {
    if (error != EMFILE && error != ENFILE) return;
    const Micros now = loop_.now();
    if (short_since_ == 0us) short_since_ = now;
    if (now - short_since_ < shortage_passes) return;
    if (give_up_idle_ && give_up_idle_()) return;
    if (now - short_since_ >= shortage_lasts) accept_with_spare();
}

void Listener::accept_with_spare() {
    if (!spare_) return;
    spare_.reset();
    SocketAddress from;
    Fd fd(::accept4(fd_.get(), from.get(), &from.size, SOCK_NONBLOCK | SOCK_CLOEXEC));
    if (fd && has_bytes(fd.get()))
        return take(std::move(fd), from.ip());  // in the spare one's place
    fd.reset();
    spare_ = open_spare();
}

void Listener::pause() {
    io_->want(none);
    loop_.after(retry_period, [this, alive = std::weak_ptr<bool>(alive_)] {
        if (alive.expired() || !fd_ || stop_by_ != 0us) return;
        if (accept_some() == Took::none) return pause();
        io_->want(readable);
    });
}

}  // namespace silverreach::event
