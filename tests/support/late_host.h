// A host on loopback that accepts its connections late.
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

// A host whose connections stay pending until it accepts the earlier ones: its accept queue is full
// from the start. The system repeats a handshake after a second.
class LateHost {
  public:
    LateHost() : fd_(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)) {
        sockaddr_in at{};
        at.sin_family = AF_INET;
        at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        EXPECT_EQ(::bind(fd_.get(), reinterpret_cast<sockaddr*>(&at), sizeof at), 0);
        EXPECT_EQ(::listen(fd_.get(), 0), 0);
        socklen_t size = sizeof at;
        getsockname(fd_.get(), reinterpret_cast<sockaddr*>(&at), &size);
        port_ = ntohs(at.sin_port);
        for (bool up = true; up;) {
            int error = 0;
            fillers_.push_back(event::connect_to("127.0.0.1", port_, false, error));
            pollfd look{fillers_.back().get(), POLLOUT, 0};
            up = ::poll(&look, 1, 50) == 1;
        }
    }
    void accept_pending() {
        for (event::Fd got;
             (got = event::Fd(::accept4(fd_.get(), nullptr, nullptr, SOCK_NONBLOCK)));)
            accepted_.push_back(std::move(got));
    }
    // Number of bytes received on all of its connections.
    std::size_t bytes() {
        accept_pending();
        std::array<char, 4096> buffer{};
        for (const event::Fd& fd : accepted_)
            for (ssize_t n; (n = ::recv(fd.get(), buffer.data(), buffer.size(), 0)) > 0;)
                text_.append(buffer.data(), static_cast<std::size_t>(n));
        return text_.size();
    }
    const std::string& text() const { return text_; }  // as of the latest bytes()
    std::size_t taken() const {                        // connections beyond the fillers
        return accepted_.size() - std::min(accepted_.size(), fillers_.size());
    }
    int port() const { return port_; }

  private:
    event::Fd fd_;
    int port_ = 0;
    std::vector<event::Fd> fillers_, accepted_;
    std::string text_;
};

}  // namespace test_support
