// The envelope of a datagram between instances: who sent it, and of which fleet. It tells a
// misdirected or foreign datagram from one of the fleet's own; it is no cryptographic
// authentication. No I/O.
//
//   "SRCH", version (1 byte), 0 (1), rank (2), XXH32 of the fleet's name (4), payload length (2),
//   payload; numbers are big-endian
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace silverreach::peers {

inline constexpr std::uint8_t envelope_version = 1;
inline constexpr std::size_t envelope_header_bytes = 14;
inline constexpr std::size_t max_envelope_payload_bytes = 512;

enum class DropReason {
    none,
    truncated,         // the length does not match the payload
    foreign_protocol,  // other magic bytes
    version_mismatch,
    fleet_mismatch,
    unknown_rank,
    address_mismatch  // not from the address of the instance that it names
};
inline constexpr std::size_t drop_reason_count = 7;
// The name in the log.
std::string_view to_string(DropReason reason);

// The datagram of `payload`, of at most max_envelope_payload_bytes, from instance `rank`.
std::string encode_envelope(std::string_view payload, int rank, std::string_view fleet);

struct DecodedEnvelope {
    DropReason drop_reason = DropReason::none;
    int rank = -1;             // of the sender
    std::string_view payload;  // points into the datagram
};
// `instances`: the size of the fleet; ranks are below it.
DecodedEnvelope decode_envelope(std::string_view datagram, std::string_view fleet, int instances);

}  // namespace silverreach::peers
