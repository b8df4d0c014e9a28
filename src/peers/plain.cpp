#include "peers/plain.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <cerrno>
#include <cstring>
#include <stdexcept>

#include "event/system_error.h"

namespace silverreach::peers {
namespace {
constexpr int receives_a_turn = 64;
}

struct PlainPeers::Address {
    sockaddr_in four{};
    explicit Address(const config::Endpoint& e) {
        if (e.v6) throw std::runtime_error("peers: IPv4 addresses only");
        four.sin_family = AF_INET, four.sin_port = htons(static_cast<std::uint16_t>(e.port));
        inet_pton(AF_INET, e.ip.c_str(), &four.sin_addr);
    }
    const sockaddr* get() const { return reinterpret_cast<const sockaddr*>(&four); }
    bool same(const sockaddr_in& o) const {
        return o.sin_family == AF_INET && o.sin_port == four.sin_port &&
               o.sin_addr.s_addr == four.sin_addr.s_addr;
    }
};

PlainPeers::PlainPeers(event::Loop& loop, const config::Endpoint& listen,
                       const std::vector<config::Endpoint>& peers,
                       const std::optional<config::Endpoint>& all, int rank,
                       std::function<void(int, std::string)> arrived)
    : arrived_(std::move(arrived)), rank_(rank) {
    for (const config::Endpoint& peer : peers)
        addresses_.emplace_back(peer);
    if (all) all_.emplace_back(*all);
    const Address own(listen);
    fd_ = event::Fd(::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    if (!fd_ || ::bind(fd_.get(), own.get(), sizeof own.four) != 0)
        throw event::SystemError("peers: no socket at " + listen.text() + ": " +
                                 std::strerror(errno));
    io_ = std::make_unique<event::IoWatcher>(loop, fd_.get(), [this](int) { receive(); });
    io_->want(event::readable);
}
PlainPeers::~PlainPeers() = default;

void PlainPeers::send(int rank, std::string_view payload) {
    if (payload.size() > most_bytes) return void(++stats_.lost);
    if (rank < 0 && !all_.empty()) return send_to(all_.front(), payload);
    for (int i = 0; i < static_cast<int>(addresses_.size()); ++i)
        if (i != rank_ && (rank < 0 || rank == i))
            send_to(addresses_[static_cast<std::size_t>(i)], payload);
}
void PlainPeers::send_to(const Address& to, std::string_view payload) {
    const ssize_t n =
        ::sendto(fd_.get(), payload.data(), payload.size(), MSG_NOSIGNAL, to.get(), sizeof to.four);
    ++(n < 0 ? stats_.lost : stats_.sent);
}

void PlainPeers::receive() {
    char buffer[most_bytes + 1];
    for (int i = 0; i < receives_a_turn; ++i) {
        sockaddr_in from{};
        socklen_t size = sizeof from;
        const ssize_t n = ::recvfrom(fd_.get(), buffer, sizeof buffer, 0,
                                     reinterpret_cast<sockaddr*>(&from), &size);
        if (n < 0 && errno == ECONNREFUSED) continue;  // an earlier datagram found nobody
        if (n < 0) return;
        int rank = 0;
        while (rank < static_cast<int>(addresses_.size()) &&
               !addresses_[static_cast<std::size_t>(rank)].same(from))
            ++rank;
        if (rank == static_cast<int>(addresses_.size()) || rank == rank_ ||
            n > static_cast<ssize_t>(most_bytes)) {
            ++stats_.dropped;
            continue;
        }
        ++stats_.received;
        arrived_(rank, std::string(buffer, static_cast<std::size_t>(n)));
    }
}

}  // namespace silverreach::peers
