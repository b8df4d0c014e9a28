// Bytes of the messages between gateways: pack and unpack only.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace silverreach {

// A gateway asks a customer's home for a part of the quota, and of the ceiling's common part.
struct LeaseRequest {
    std::uint32_t nonce = 0;          // comes back in the answer
    std::uint32_t customer_hash = 0;  // hash of the customer's name
    int plan = 0;                     // index into Settings::plans, below 256
    int subset_size = 1, subset_start = 0;
    double required_units = 0;  // units without which the part is of no use
    double extra_units = 0;     // further units that the asker is likely to use soon
    double ceiling_units = 0;   // units of the ceiling that its own part lacks
    double demand_rate = 0;     // units a second asked for at the asker
    double returned_units = 0;  // units that it held and gives back
    double standing_share = 0;  // of the quota, that refills there now
};
struct LeaseGrant {
    std::uint32_t nonce = 0;
    double units = 0, ceiling_units = 0;
    std::uint32_t wait_ms = 0;  // where nothing was given: until it could be
    double demand_rate = 0;     // units a second lately asked for this customer by all its gateways
    double standing_share =
        0;  // of the quota, 0 to 1, that refills at the asker by the clock, for a while
    int holder_count =
        0;  // gateways that lately asked for this customer; 0: the giver is not its home
};
using PeerMessage = std::variant<LeaseRequest, LeaseGrant>;

inline constexpr double lease_unit_step = 1.0 / 16, standing_share_step = 1.0 / 65535;
inline constexpr std::size_t max_message_bytes = 256, max_messages_per_datagram = 9;

// What travels of an amount that is rounded down.
double round_down_to_step(double amount, double step = lease_unit_step);
std::uint32_t hash_name(std::string_view name);
// Units travel in sixteenths, from 256 on in 2,048 steps to each doubling, 8,000,000 at most; what
// is needed is rounded up, what is given or given back down. At most `most_together` go into one
// message; more are left out.
std::string encode(const std::vector<PeerMessage>& messages);
// Nothing for bytes that no gateway of this version packs.
std::optional<std::vector<PeerMessage>> decode(std::string_view bytes);

}  // namespace silverreach
