// An IP address and port as a sockaddr.
#pragma once

#include <netinet/in.h>
#include <sys/socket.h>

#include <string>

namespace silverreach::event {

struct SocketAddress {
    // An empty address of maximum size, to be filled in by a system call.
    SocketAddress() = default;
    // `ip` is an IPv6 address if `v6` is true, otherwise an IPv4 address. If it cannot be parsed,
    // the address is all zeros.
    SocketAddress(const std::string& ip, int port, bool v6);
    sockaddr* get() { return reinterpret_cast<sockaddr*>(&storage); }
    std::string ip() const;
    int port() const;

    sockaddr_storage storage{};
    socklen_t size = sizeof(sockaddr_storage);
};

}  // namespace silverreach::event
