// The envelope of a datagram between instances, which identifies the sender and its fleet. It
// distinguishes misdirected and foreign datagrams from those of the fleet; it is not cryptographic
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
    truncated,         // shorter than the header, or the length does not match the payload
    foreign_protocol,  // different magic bytes
    version_mismatch,
    fleet_mismatch,
    unknown_rank,
    address_mismatch  // the source is not the address of the peer that the envelope names
};
inline constexpr std::size_t drop_reason_count = 7;
// Returns the field name in the log.
std::string_view to_string(DropReason reason);

// Returns the datagram that carries `payload` from instance `rank`. `payload` has at most
// max_envelope_payload_bytes.
std::string encode_envelope(std::string_view payload, int rank, std::string_view fleet);

struct DecodedEnvelope {
    DropReason drop_reason = DropReason::none;
    int rank = -1;             // of the sender
    std::string_view payload;  // points into the datagram
};
// `instances` is the number of instances in the fleet; valid ranks are below it.
DecodedEnvelope decode_envelope(std::string_view datagram, std::string_view fleet, int instances);

}  // namespace silverreach::peers
