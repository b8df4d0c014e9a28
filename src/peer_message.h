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
struct PartAsk {
    std::uint32_t nonce = 0;     // comes back in the answer
    std::uint32_t customer = 0;  // hash of the customer's name
    int plan = 0;                // index into Settings::plans, below 256
    int set_size = 1, set_start = 0;
    double need = 0;   // units without which the part is of no use
    double extra = 0;  // further units that the asker is likely to use soon
    double hard = 0;   // units of the ceiling that its own part lacks
};
struct PartGiven {
    std::uint32_t nonce = 0;
    double units = 0, hard = 0;
    std::uint32_t wait_ms = 0;  // where nothing was given: until it could be
    double demand = 0;          // units a second lately asked for this customer by all its gateways
};
using PeerMessage = std::variant<PartAsk, PartGiven>;

inline constexpr std::size_t max_message_bytes = 256, most_together = 12;

std::uint32_t name_hash(std::string_view name);
// Units travel in sixteenths, 4095 at most; asks are rounded up, parts given down.
// At most `most_together` go into one message; more are left out.
std::string pack(const std::vector<PeerMessage>& messages);
// Nothing for bytes that no gateway of this version packs.
std::optional<std::vector<PeerMessage>> unpack(std::string_view bytes);

}  // namespace silverreach
