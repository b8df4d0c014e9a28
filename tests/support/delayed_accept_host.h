// A host on loopback that accepts its connections with a delay.
#pragma once

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <string>
#include <vector>

#include "event/stream.h"

namespace test_support {
using namespace silverreach;

// A host whose accept queue is full from the start, so that new connections stay pending until it
// accepts the earlier ones. The kernel repeats a handshake after one second.
class DelayedAcceptHost {
  public:
    DelayedAcceptHost() : fd_(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)) {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        EXPECT_EQ(::bind(fd_.get(), reinterpret_cast<sockaddr*>(&address), sizeof address), 0);
        EXPECT_EQ(::listen(fd_.get(), 0), 0);
        socklen_t size = sizeof address;
        getsockname(fd_.get(), reinterpret_cast<sockaddr*>(&address), &size);
        port_ = ntohs(address.sin_port);
        for (bool is_connected = true; is_connected;) {
            int error = 0;
            filler_connections_.push_back(event::connect_to("127.0.0.1", port_, false, error));
            pollfd poll_entry{filler_connections_.back().get(), POLLOUT, 0};
            is_connected = ::poll(&poll_entry, 1, 50) == 1;
        }
    }
    void accept_connections() {
        for (event::Fd accepted_fd;
             (accepted_fd = event::Fd(::accept4(fd_.get(), nullptr, nullptr, SOCK_NONBLOCK)));)
            accepted_.push_back(std::move(accepted_fd));
    }
    // Accepts the pending connections; returns the number of bytes received on all connections.
    std::size_t received_bytes() {
        accept_connections();
        std::array<char, 4096> buffer{};
        for (const event::Fd& fd : accepted_)
            for (ssize_t received_count;
                 (received_count = ::recv(fd.get(), buffer.data(), buffer.size(), 0)) > 0;)
                received_.append(buffer.data(), static_cast<std::size_t>(received_count));
        return received_.size();
    }
    const std::string& received_text() const {
        return received_;
    }                                     // as of the latest received_bytes()
    std::size_t accepted_count() const {  // without the filler connections
        return accepted_.size() - std::min(accepted_.size(), filler_connections_.size());
    }
    int port() const { return port_; }

  private:
    event::Fd fd_;
    int port_ = 0;
    std::vector<event::Fd> filler_connections_, accepted_;
    std::string received_;
};

}  // namespace test_support
