// Messages between the platform's instances: the module's bytes as they are, in one UDP datagram
// each. Who sent one is known by its address; anything from elsewhere, or too long, is dropped.
#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "config/config.h"
#include "event/fd.h"
#include "event/io_watcher.h"
#include "event/loop.h"

namespace silverreach::peers {

class PlainPeers {
  public:
    static constexpr std::size_t most_bytes = 256;
    // `peers`: by rank, the own one included; `all`: the address that reaches every other one.
    // Throws std::runtime_error where the socket cannot be had.
    PlainPeers(event::Loop& loop, const config::Endpoint& listen,
               const std::vector<config::Endpoint>& peers,
               const std::optional<config::Endpoint>& all, int rank,
               std::function<void(int, std::string)> arrived);
    ~PlainPeers();
    void send(int rank,
              std::string_view payload);  // below 0: every peer; what does not fit is lost

    struct Stats {
        std::uint64_t sent = 0, received = 0, lost = 0, dropped = 0;
    };
    const Stats& stats() const { return stats_; }

  private:
    struct Address;
    void receive();
    void send_to(const Address& to, std::string_view payload);
    std::function<void(int, std::string)> arrived_;
    int rank_;
    std::vector<Address> addresses_;  // by rank
    std::vector<Address> all_;        // one or none
    event::Fd fd_;
    std::unique_ptr<event::IoWatcher> io_;
    Stats stats_;
};

}  // namespace silverreach::peers
