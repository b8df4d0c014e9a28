#include "fakes/relay.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <stdexcept>

namespace silverreach::fakes {
namespace {
sockaddr_in address_of(const std::string& ip, int port) {
    sockaddr_in a{};
    a.sin_family = AF_INET, a.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &a.sin_addr);
    return a;
}
}  // namespace

struct Relay::Leg {
    event::Fd fd;
    int port = 0;
    std::unique_ptr<event::IoWatcher> io;
};

Relay::Relay(event::Loop& loop, std::vector<std::pair<std::string, int>> own, std::uint64_t seed)
    : loop_(loop), own_(std::move(own)), random_(seed) {
    const int n = static_cast<int>(own_.size());
    legs_.resize(own_.size());
    for (int from = 0; from < n; ++from)
        for (int to = 0; to < n; ++to) {
            auto leg = std::make_unique<Leg>();
            leg->fd = event::Fd(::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
            sockaddr_in at = address_of("127.0.0.1", 0);
            socklen_t size = sizeof at;
            if (!leg->fd || ::bind(leg->fd.get(), reinterpret_cast<sockaddr*>(&at), size) != 0)
                throw std::runtime_error("relay: no socket");
            getsockname(leg->fd.get(), reinterpret_cast<sockaddr*>(&at), &size);
            leg->port = ntohs(at.sin_port);
            leg->io = std::make_unique<event::IoWatcher>(
                loop, leg->fd.get(), [this, from, to](int) { receive(from, to); });
            leg->io->set_interest(event::readable);
            legs_[static_cast<std::size_t>(from)].push_back(std::move(leg));
        }
}
Relay::~Relay() {
    alive_.reset();
}

std::string Relay::address(int from, int to) const {
    return "127.0.0.1:" +
           std::to_string(
               legs_[static_cast<std::size_t>(from)][static_cast<std::size_t>(to)]->port);
}
void Relay::set(double loss, std::chrono::microseconds least, std::chrono::microseconds most) {
    loss_ = loss, least_ = least, most_ = std::max(least, most);
}
void Relay::cut(int gateway, bool on) {
    on ? void(cut_.insert(gateway)) : void(cut_.erase(gateway));
}

void Relay::part(bool on) {
    parted_ = on;
}

void Relay::receive(int from, int to) {
    char buffer[2048];
    while (true) {
        const ssize_t n =
            ::recv(legs_[static_cast<std::size_t>(from)][static_cast<std::size_t>(to)]->fd.get(),
                   buffer, sizeof buffer, 0);
        if (n < 0) return;
        const double draw = static_cast<double>(random_() >> 11) * 0x1p-53;
        bytes_ += static_cast<std::uint64_t>(n);
        if (draw < loss_ || cut_.contains(from) || cut_.contains(to) ||
            (parted_ && from % 2 != to % 2)) {
            ++lost_;
            continue;
        }
        const auto span = static_cast<std::uint64_t>((most_ - least_).count()) + 1;
        const std::chrono::microseconds delay =
            least_ + std::chrono::microseconds(random_() % span);
        ++carried_;
        loop_.after(delay, [this, from, to,
                            bytes = std::string(buffer, static_cast<std::size_t>(n)),
                            alive = std::weak_ptr<bool>(alive_)] {
            if (alive.expired()) return;
            // From the socket at which `to` knows `from`.
            const auto& [ip, port] = own_[static_cast<std::size_t>(to)];
            const sockaddr_in at = address_of(ip, port);
            ::sendto(legs_[static_cast<std::size_t>(to)][static_cast<std::size_t>(from)]->fd.get(),
                     bytes.data(), bytes.size(), MSG_NOSIGNAL,
                     reinterpret_cast<const sockaddr*>(&at), sizeof at);
        });
    }
}

}  // namespace silverreach::fakes
