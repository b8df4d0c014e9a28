// An IP address and port in the system's form.
#pragma once

#include <netinet/in.h>
#include <sys/socket.h>

#include <string>

namespace silverreach::event {

struct SocketAddress {
    // Room for any address, for the system to fill in.
    SocketAddress() = default;
    // `ip`: the text of an address of the family that `v6` names; else the address is all zeros.
    SocketAddress(const std::string& ip, int port, bool v6);
    sockaddr* get() { return reinterpret_cast<sockaddr*>(&storage); }
    std::string ip() const;
    int port() const;

    sockaddr_storage storage{};
    socklen_t size = sizeof(sockaddr_storage);
};

}  // namespace silverreach::event
