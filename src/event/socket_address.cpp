#include "event/socket_address.h"

#include <arpa/inet.h>

#include <array>

namespace silverreach::event {

SocketAddress::SocketAddress(const std::string& ip, int port, bool v6) {
    if (v6) {
        auto* ipv6_address = reinterpret_cast<sockaddr_in6*>(&storage);
        ipv6_address->sin6_family = AF_INET6;
        ipv6_address->sin6_port = htons(static_cast<std::uint16_t>(port));
        inet_pton(AF_INET6, ip.c_str(), &ipv6_address->sin6_addr);
        size = sizeof *ipv6_address;
        return;
    }
    auto* ipv4_address = reinterpret_cast<sockaddr_in*>(&storage);
    ipv4_address->sin_family = AF_INET;
    ipv4_address->sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &ipv4_address->sin_addr);
    size = sizeof *ipv4_address;
}

std::string SocketAddress::ip() const {
    std::array<char, INET6_ADDRSTRLEN> text{};
    if (storage.ss_family == AF_INET6)
        inet_ntop(AF_INET6, &reinterpret_cast<const sockaddr_in6&>(storage).sin6_addr, text.data(),
                  text.size());
    else
        inet_ntop(AF_INET, &reinterpret_cast<const sockaddr_in&>(storage).sin_addr, text.data(),
                  text.size());
    return text.data();
}

int SocketAddress::port() const {
    // The port has the same offset in both address families.
    return ntohs(reinterpret_cast<const sockaddr_in&>(storage).sin_port);
}

}  // namespace silverreach::event
