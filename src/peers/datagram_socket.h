// A bound, non-blocking UDP socket on the event loop, and the addresses that it talks to.
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

// An endpoint in the system's form.
class DatagramAddress {
  public:
    explicit DatagramAddress(const config::Endpoint& endpoint);

    int family() const { return storage_.ss_family; }
    const sockaddr* data() const { return reinterpret_cast<const sockaddr*>(&storage_); }
    socklen_t size() const { return size_; }
    // The same family, IP address and port.
    bool matches(const sockaddr_storage& other) const;

  private:
    sockaddr_storage storage_{};
    socklen_t size_ = 0;
};

class DatagramSocket {
  public:
    // Called on the loop's thread. `bytes` is valid during the call, and one byte longer than the
    // limit where the datagram exceeds it.
    using OnDatagram = std::function<void(std::string_view bytes, const sockaddr_storage& from)>;

    // Binds to `local`. `description` begins the message of event::SystemError, which is thrown
    // where the socket cannot be created or bound. `loop` must outlive this.
    DatagramSocket(event::Loop& loop, const DatagramAddress& local, const std::string& description,
                   std::size_t max_datagram_bytes, OnDatagram on_datagram);

    // False where the system did not take the datagram, which is then lost.
    bool send_to(const DatagramAddress& to, std::string_view datagram) const;

  private:
    void receive();

    OnDatagram on_datagram_;
    std::string buffer_;
    event::Fd fd_;
    std::unique_ptr<event::IoWatcher> io_;
};

}  // namespace silverreach::peers
