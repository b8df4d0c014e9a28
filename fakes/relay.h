// Forwards datagrams between gateways and can drop, delay or block them. Each ordered pair of
// gateways has a socket of its own, so that a gateway sees each peer at a constant address.
#pragma once

#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "event/fd.h"
#include "event/io_watcher.h"
#include "event/loop.h"

namespace silverreach::fakes {

class Relay {
  public:
    // `gateways`: IPv4 address and port on which each gateway receives peer messages, by rank.
    Relay(event::Loop& loop, std::vector<std::pair<std::string, int>> gateways, std::uint64_t seed);
    ~Relay();
    // Returns the address that gateway `from` uses for its peer `to`.
    std::string address(int from, int to) const;
    // `loss`: share of dropped datagrams. Delays are uniform between the two limits.
    void set_network(double loss, std::chrono::microseconds min_delay,
                     std::chrono::microseconds max_delay);
    void isolate(int gateway, bool on);             // drops all datagrams from and to it
    void partition(bool on);                        // drops datagrams between even and odd ranks
    std::uint64_t bytes() const { return bytes_; }  // received, including dropped datagrams
    std::uint64_t forwarded() const { return forwarded_; }
    std::uint64_t dropped() const { return dropped_; }

  private:
    struct Link;
    void receive(int from, int to);
    event::Loop& loop_;
    std::vector<std::pair<std::string, int>> gateways_;
    std::mt19937_64 random_;
    std::vector<std::vector<std::unique_ptr<Link>>> links_;  // [from][to]
    double loss_ = 0;
    std::chrono::microseconds min_delay_{0}, max_delay_{0};
    std::set<int> isolated_;
    bool is_partitioned_ = false;
    std::uint64_t forwarded_ = 0, dropped_ = 0, bytes_ = 0;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace silverreach::fakes
