#include "peers/datagram_socket.h"

#include <arpa/inet.h>

#include <algorithm>
#include <cerrno>
#include <cstring>

#include "event/system_error.h"

namespace silverreach::peers {
namespace {
constexpr int max_datagrams_per_wakeup = 64;
}

DatagramAddress::DatagramAddress(const config::Endpoint& endpoint) {
    const auto port = htons(static_cast<std::uint16_t>(endpoint.port));
    if (endpoint.is_ipv6) {
        auto* address = reinterpret_cast<sockaddr_in6*>(&storage_);
        address->sin6_family = AF_INET6;
        address->sin6_port = port;
        inet_pton(AF_INET6, endpoint.ip.c_str(), &address->sin6_addr);
        size_ = sizeof *address;
    } else {
        auto* address = reinterpret_cast<sockaddr_in*>(&storage_);
        address->sin_family = AF_INET;
        address->sin_port = port;
        inet_pton(AF_INET, endpoint.ip.c_str(), &address->sin_addr);
        size_ = sizeof *address;
    }
}

bool DatagramAddress::matches(const sockaddr_storage& other) const {
    if (other.ss_family != storage_.ss_family) return false;
    if (other.ss_family == AF_INET6) {
        const auto& left = reinterpret_cast<const sockaddr_in6&>(storage_);
        const auto& right = reinterpret_cast<const sockaddr_in6&>(other);
        return left.sin6_port == right.sin6_port &&
               std::memcmp(&left.sin6_addr, &right.sin6_addr, sizeof left.sin6_addr) == 0;
    }
    const auto& left = reinterpret_cast<const sockaddr_in&>(storage_);
    const auto& right = reinterpret_cast<const sockaddr_in&>(other);
    return left.sin_port == right.sin_port && left.sin_addr.s_addr == right.sin_addr.s_addr;
}

DatagramSocket::DatagramSocket(event::Loop& loop, const DatagramAddress& local,
                               const std::string& description, std::size_t max_datagram_bytes,
                               OnDatagram on_datagram)
    : on_datagram_(std::move(on_datagram)),
      buffer_(max_datagram_bytes + 1, '\0'),
      fd_(::socket(local.family(), SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)) {
    if (!fd_ || ::bind(fd_.get(), local.data(), local.size()) != 0)
        throw event::SystemError(description + ": " + std::strerror(errno));
    io_ = std::make_unique<event::IoWatcher>(loop, fd_.get(), [this](int) { receive(); });
    io_->want(event::readable);
}

bool DatagramSocket::send_to(const DatagramAddress& to, std::string_view datagram) const {
    return ::sendto(fd_.get(), datagram.data(), datagram.size(), MSG_NOSIGNAL, to.data(),
                    to.size()) >= 0;
}

void DatagramSocket::receive() {
    for (int i = 0; i < max_datagrams_per_wakeup; ++i) {
        sockaddr_storage from{};
        socklen_t from_size = sizeof from;
        const ssize_t size = ::recvfrom(fd_.get(), buffer_.data(), buffer_.size(), MSG_TRUNC,
                                        reinterpret_cast<sockaddr*>(&from), &from_size);
        // The error concerns an earlier datagram, whose destination port has no listener.
        if (size < 0 && errno == ECONNREFUSED) continue;
        if (size < 0) return;
        const std::size_t received = std::min(static_cast<std::size_t>(size), buffer_.size());
        on_datagram_(std::string_view(buffer_).substr(0, received), from);
    }
}

}  // namespace silverreach::peers
