// Carries datagrams between gateways, and loses, delays and cuts as told. Each ordered pair has a
// socket of its own, so that every gateway sees each peer at one stable address.
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
    // `own`: the gateways' own addresses, "ip:port", by rank.
    Relay(event::Loop& loop, std::vector<std::pair<std::string, int>> own, std::uint64_t seed);
    ~Relay();
    // Where gateway `from` finds its peer `to`.
    std::string address(int from, int to) const;
    void set(double loss, std::chrono::microseconds least_delay,
             std::chrono::microseconds most_delay);
    void cut(int gateway, bool on);                 // nothing passes from or to it
    void part(bool on);                             // nothing passes between even and odd gateways
    std::uint64_t bytes() const { return bytes_; }  // of all that was handed in
    std::uint64_t carried() const { return carried_; }
    std::uint64_t lost() const { return lost_; }

  private:
    struct Leg;
    void receive(int from, int to);
    event::Loop& loop_;
    std::vector<std::pair<std::string, int>> own_;
    std::mt19937_64 random_;
    std::vector<std::vector<std::unique_ptr<Leg>>> legs_;  // [from][to]
    double loss_ = 0;
    std::chrono::microseconds least_{0}, most_{0};
    std::set<int> cut_;
    bool parted_ = false;
    std::uint64_t carried_ = 0, lost_ = 0, bytes_ = 0;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace silverreach::fakes
