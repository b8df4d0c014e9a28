// Messages between instances as UDP datagrams. The bytes are the module's; the envelope is written
// and judged here, without I/O, and the socket beside it.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "config/config.h"
#include "event/fd.h"
#include "event/io_watcher.h"
#include "event/loop.h"

namespace silverreach::peers {

// Envelope: "SRCH", version, 0, rank (2 bytes), hash of the fleet's name (4), length of what
// follows (2); numbers are big-endian.
inline constexpr std::uint8_t envelope_version = 1;
inline constexpr std::size_t envelope_size = 14, most_payload = 512;

enum class Drop {
    none,
    cut_short,
    not_ours,
    other_version,
    other_fleet,
    unknown_rank,
    elsewhere
};
inline constexpr std::size_t drop_kinds = 7;
std::string_view to_string(Drop drop);

std::string seal(std::string_view payload, int rank, std::string_view fleet);
struct Opened {
    Drop drop = Drop::none;
    int rank = -1;
    std::string_view payload;
};
Opened open(std::string_view datagram, std::string_view fleet, int instances);

class Peers {
  public:
    // Throws std::runtime_error where the socket cannot be had.
    Peers(event::Loop& loop, const config::Config& config,
          std::function<void(int, std::string)> arrived);
    ~Peers();
    void send(
        int rank,
        std::string_view payload);  // below 0: every peer; what does not fit the socket is lost

    struct Stats {
        std::uint64_t sent = 0, received = 0, lost = 0;
        std::array<std::uint64_t, drop_kinds> dropped{};
    };
    const Stats& stats() const { return stats_; }

  private:
    struct Address;
    void receive();
    void send_to(int rank, std::string_view datagram);
    const config::Config& config_;
    std::function<void(int, std::string)> arrived_;
    int rank_;
    std::vector<std::unique_ptr<Address>> addresses_;  // by rank
    event::Fd fd_;
    std::unique_ptr<event::IoWatcher> io_;
    Stats stats_;
};

}  // namespace silverreach::peers
