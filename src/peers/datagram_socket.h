// A bound, non-blocking UDP socket on the event loop, and the socket addresses it uses.
#pragma once

#include <netinet/in.h>
#include <sys/socket.h>

#include <functional>
#include <string>
#include <string_view>

#include "config/config.h"
#include "event/fd.h"
#include "event/io_watcher.h"
#include "event/loop.h"

namespace silverreach::peers {

// An endpoint as a sockaddr of the operating system.
class DatagramAddress {
  public:
    explicit DatagramAddress(const config::Endpoint& endpoint);

    int family() const { return storage_.ss_family; }
    const sockaddr* data() const { return reinterpret_cast<const sockaddr*>(&storage_); }
    socklen_t size() const { return size_; }
    // Returns whether family, IP address and port are the same.
    bool matches(const sockaddr_storage& other) const;

  private:
    sockaddr_storage storage_{};
    socklen_t size_ = 0;
};

class DatagramSocket {
  public:
    // Called on the loop's thread. `bytes` is valid only during the call. A datagram above the size
    // limit is cut to one byte more than the limit.
    using OnDatagram = std::function<void(std::string_view bytes, const sockaddr_storage& from)>;

    // Binds to `local`. Throws event::SystemError, whose message starts with `description`, if the
    // socket cannot be created or bound. `loop` must outlive this.
    DatagramSocket(event::Loop& loop, const DatagramAddress& local, const std::string& description,
                   std::size_t max_datagram_bytes, OnDatagram on_datagram);

    // Returns false if the system did not accept the datagram, which is then lost.
    bool send_to(const DatagramAddress& to, std::string_view datagram) const;

  private:
    void receive();

    OnDatagram on_datagram_;
    std::string buffer_;
    event::Fd fd_;
    std::unique_ptr<event::IoWatcher> io_;
};

}  // namespace silverreach::peers
