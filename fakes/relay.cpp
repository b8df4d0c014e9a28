#include "fakes/relay.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <stdexcept>

namespace silverreach::fakes {
namespace {
sockaddr_in socket_address(const std::string& ip, int port) {
    sockaddr_in address{};
    address.sin_family = AF_INET, address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}
}  // namespace

struct Relay::Link {
    event::Fd fd;
    int port = 0;
    std::unique_ptr<event::IoWatcher> watcher;
};

Relay::Relay(event::Loop& loop, std::vector<std::pair<std::string, int>> gateways,
             std::uint64_t seed)
    : loop_(loop), gateways_(std::move(gateways)), random_(seed) {
    const int count = static_cast<int>(gateways_.size());
    links_.resize(gateways_.size());
    for (int from = 0; from < count; ++from)
        for (int to = 0; to < count; ++to) {
            auto link = std::make_unique<Link>();
            link->fd = event::Fd(::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
            sockaddr_in bound_address = socket_address("127.0.0.1", 0);
            socklen_t size = sizeof bound_address;
            if (!link->fd ||
                ::bind(link->fd.get(), reinterpret_cast<sockaddr*>(&bound_address), size) != 0)
                throw std::runtime_error("relay: cannot create a socket");
            getsockname(link->fd.get(), reinterpret_cast<sockaddr*>(&bound_address), &size);
            link->port = ntohs(bound_address.sin_port);
            link->watcher = std::make_unique<event::IoWatcher>(
                loop, link->fd.get(), [this, from, to](int) { receive(from, to); });
            link->watcher->set_interest(event::readable);
            links_[static_cast<std::size_t>(from)].push_back(std::move(link));
        }
}
Relay::~Relay() {
    alive_.reset();
}

std::string Relay::address(int from, int to) const {
    return "127.0.0.1:" +
           std::to_string(
               links_[static_cast<std::size_t>(from)][static_cast<std::size_t>(to)]->port);
}
void Relay::set_network(double loss, std::chrono::microseconds min_delay,
                        std::chrono::microseconds max_delay) {
    loss_ = loss, min_delay_ = min_delay, max_delay_ = std::max(min_delay, max_delay);
}
void Relay::isolate(int gateway, bool on) {
    on ? void(isolated_.insert(gateway)) : void(isolated_.erase(gateway));
}

void Relay::partition(bool on) {
    is_partitioned_ = on;
}

void Relay::receive(int from, int to) {
    char buffer[2048];
    while (true) {
        const ssize_t size =
            ::recv(links_[static_cast<std::size_t>(from)][static_cast<std::size_t>(to)]->fd.get(),
                   buffer, sizeof buffer, 0);
        if (size < 0) return;
        const double draw = static_cast<double>(random_() >> 11) * 0x1p-53;
        bytes_ += static_cast<std::uint64_t>(size);
        if (draw < loss_ || isolated_.contains(from) || isolated_.contains(to) ||
            (is_partitioned_ && from % 2 != to % 2)) {
            ++dropped_;
            continue;
        }
        const auto delay_range = static_cast<std::uint64_t>((max_delay_ - min_delay_).count()) + 1;
        const std::chrono::microseconds delay =
            min_delay_ + std::chrono::microseconds(random_() % delay_range);
        ++forwarded_;
        loop_.after(delay, [this, from, to,
                            bytes = std::string(buffer, static_cast<std::size_t>(size)),
                            alive = std::weak_ptr<bool>(alive_)] {
            if (alive.expired()) return;
            // Sent from the socket whose address `to` uses for `from`.
            const auto& [ip, port] = gateways_[static_cast<std::size_t>(to)];
            const sockaddr_in destination = socket_address(ip, port);
            ::sendto(links_[static_cast<std::size_t>(to)][static_cast<std::size_t>(from)]->fd.get(),
                     bytes.data(), bytes.size(), MSG_NOSIGNAL,
                     reinterpret_cast<const sockaddr*>(&destination), sizeof destination);
        });
    }
}

}  // namespace silverreach::fakes
