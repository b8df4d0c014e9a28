// Bytes of the messages between gateways: pack and unpack only.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace silverreach {

struct PeerUse {
    std::uint32_t customer = 0;  // hash of the customer's name
    std::uint32_t total = 0;     // sixteenths of units sent on since the sender began to count, modulo 2^24
};
struct PeerOutstanding {
    std::uint16_t host = 0;  // hash of the host's name
    std::uint8_t count = 0;
};
struct PeerNews {
    std::uint32_t life = 0;  // differs from one start of the sender to the next
    std::uint16_t sequence = 0;
    std::vector<PeerUse> uses;
    std::vector<PeerOutstanding> hosts;
};

inline constexpr std::size_t max_message_bytes = 256;
inline constexpr std::uint32_t total_modulus = 1u << 24;
// Room for this many uses beside `hosts` entries of outstanding attempts.
std::size_t uses_that_fit(std::size_t hosts);

std::uint32_t name_hash(std::string_view name);
std::string pack(const PeerNews& news);
// Nothing for bytes that no gateway of this version packs.
std::optional<PeerNews> unpack(std::string_view bytes);

}  // namespace silverreach
