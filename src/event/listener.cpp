#include "event/listener.h"

#include <fcntl.h>
#include <linux/filter.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <utility>

#include "event/socket_address.h"
#include "event/system_error.h"

namespace silverreach::event {
namespace {
using namespace std::chrono_literals;
constexpr int max_accepts_per_turn = 64;
constexpr Micros retry_period = 10ms;
constexpr Micros close_idle_after = 100ms;  // since the start of a descriptor shortage
constexpr Micros close_silent_after = 1s;   // since the start of a descriptor shortage
constexpr Micros stop_timeout = 2s;  // for accepting the connections that remain in the queue

Fd open_spare_fd() {
    return Fd(::open("/dev/null", O_RDONLY | O_CLOEXEC));
}

// Stops the completion of further connections; those in the queue remain. Without the filter, a
// connection that completes between the last accept() and close() is reset. This still happens if
// the system refuses the filter.
void block_new_connections(int fd) {
    sock_filter drop_all{BPF_RET | BPF_K, 0, 0, 0};
    const sock_fprog program{1, &drop_all};
    setsockopt(fd, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof program);
}

// Errors that concern only the connection to be accepted; accept() may succeed for the next one.
bool is_connection_error(int error) {
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
bool has_waiting_connection(int fd) {
    pollfd poll_accept{fd, POLLIN, 0};
    return ::poll(&poll_accept, 1, 0) > 0;
}
bool has_bytes(int fd) {
    char byte = 0;
    return ::recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}
}  // namespace

Listener::Listener(Loop& loop, const std::string& ip, int port, bool v6,
                   std::function<bool()> has_capacity,
                   std::function<void(Fd, std::string)> on_accepted)
    : loop_(loop),
      spare_fd_(open_spare_fd()),
      has_capacity_(std::move(has_capacity)),
      on_accepted_(std::move(on_accepted)) {
    open(ip, port, v6);
    watcher_ = std::make_unique<IoWatcher>(loop, fd_.get(), [this](int) {
        if (accept_batch() == AcceptResult::unavailable) pause();
    });
    watcher_->set_interest(readable);
}
Listener::~Listener() = default;

void Listener::open(const std::string& ip, int port, bool v6) {
    const auto fail = [&](const char* operation) {
        throw SystemError("listening on " + ip + " port " + std::to_string(port) + ": " +
                          operation + ": " + std::strerror(errno));
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
}

void Listener::stop() {
    if (!fd_ || stop_deadline_ != 0us) return;
    stop_deadline_ = loop_.now() + stop_timeout;
    block_new_connections(fd_.get());
    watcher_->set_interest(none);
    accept_remaining();
}

// The number of batches is bounded because connections may keep arriving if the filter was refused.
void Listener::accept_remaining() {
    AcceptResult result = AcceptResult::more_waiting;
    for (int batch = 0; batch < SOMAXCONN / max_accepts_per_turn; ++batch) {
        if (result != AcceptResult::more_waiting) break;
        result = accept_batch();
    }
    if (result == AcceptResult::unavailable && loop_.now() < stop_deadline_) {
        loop_.after(retry_period, [this, alive = std::weak_ptr<bool>(alive_)] {
            if (!alive.expired()) accept_remaining();
        });
        return;
    }
    fd_.reset();
}

Listener::AcceptResult Listener::accept_batch() {
    waiting_since_ = unwatched_since_ != 0us ? unwatched_since_ : loop_.ready_since();
    int accepted = 0;
    for (int i = 0; i < max_accepts_per_turn; ++i) {
        SocketAddress peer;
        const int fd = ::accept4(fd_.get(), peer.get(), &peer.size, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (fd < 0) {
            const int error = errno;
            if (is_connection_error(error)) continue;
            if (error != EAGAIN && error != EWOULDBLOCK) return on_accept_failed(error);
            unwatched_since_ = shortage_since_ = 0us;
            return AcceptResult::queue_empty;
        }
        shortage_since_ = 0us;
        ++accepted;
        deliver(Fd(fd), peer.ip());
        if (!spare_fd_) spare_fd_ = open_spare_fd();
    }
    unwatched_since_ = waiting_since_;
    return accepted > 0 ? AcceptResult::more_waiting : AcceptResult::unavailable;
}

void Listener::deliver(Fd fd, std::string peer_ip) {
    if (has_capacity_()) on_accepted_(std::move(fd), std::move(peer_ip));
}

Listener::AcceptResult Listener::on_accept_failed(int error) {
    unwatched_since_ = waiting_since_;
    if (error == EMFILE || error == ENFILE) on_descriptor_shortage();
    // Without a free descriptor accept() fails even if the queue is empty. If it is empty, the
    // connections that are accepted later arrive after this time.
    if (!has_waiting_connection(fd_.get())) unwatched_since_ = loop_.now();
    return AcceptResult::unavailable;
}

// A shortage shorter than close_idle_after only delays accepting. After that an idle connection is
// closed, and if there is none, a waiting connection that has sent nothing.
void Listener::on_descriptor_shortage() {
    const Micros now = loop_.now();
    if (shortage_since_ == 0us) shortage_since_ = now;
    if (now - shortage_since_ < close_idle_after) return;
    if (close_idle_ && close_idle_()) return;
    if (now - shortage_since_ >= close_silent_after) accept_with_spare_fd();
}

void Listener::accept_with_spare_fd() {
    if (!spare_fd_) return;
    spare_fd_.reset();
    SocketAddress peer;
    Fd fd(::accept4(fd_.get(), peer.get(), &peer.size, SOCK_NONBLOCK | SOCK_CLOEXEC));
    // The connection keeps the descriptor that was reserved.
    if (fd && has_bytes(fd.get())) return deliver(std::move(fd), peer.ip());
    fd.reset();
    spare_fd_ = open_spare_fd();
}

void Listener::pause() {
    watcher_->set_interest(none);
    loop_.after(retry_period, [this, alive = std::weak_ptr<bool>(alive_)] {
        if (alive.expired() || !fd_ || stop_deadline_ != 0us) return;
        if (accept_batch() == AcceptResult::unavailable) return pause();
        watcher_->set_interest(readable);
    });
}

}  // namespace silverreach::event
