#include "peers/envelope.h"

#include <xxhash.h>

#include <array>

namespace silverreach::peers {
namespace {
constexpr std::string_view magic = "SRCH";

// Offsets and widths of the fields, in bytes.
constexpr std::size_t version_offset = 4;
constexpr std::size_t rank_offset = 6;
constexpr std::size_t fleet_hash_offset = 8;
constexpr std::size_t length_offset = 12;
constexpr int version_width = 1;
constexpr int reserved_width = 1;
constexpr int rank_width = 2;
constexpr int fleet_hash_width = 4;
constexpr int length_width = 2;

void append_big_endian(std::string& out, std::uint32_t value, int width) {
    for (int i = width - 1; i >= 0; --i)
        out.push_back(static_cast<char>(value >> (8 * i) & 0xFF));
}
std::uint32_t read_big_endian(std::string_view in, std::size_t offset, int width) {
    std::uint32_t value = 0;
    for (int i = 0; i < width; ++i)
        value = value << 8 | static_cast<unsigned char>(in[offset + static_cast<std::size_t>(i)]);
    return value;
}
std::uint32_t hash_fleet_name(std::string_view fleet) {
    return XXH32(fleet.data(), fleet.size(), 0);
}
}  // namespace

std::string_view to_string(DropReason reason) {
    constexpr std::array<std::string_view, drop_reason_count> names = {
        "none",        "cut short",    "not ours",      "other version",
        "other fleet", "unknown rank", "from elsewhere"};
    return names[static_cast<std::size_t>(reason)];
}

std::string encode_envelope(std::string_view payload, int rank, std::string_view fleet) {
    std::string datagram(magic);
    append_big_endian(datagram, envelope_version, version_width);
    append_big_endian(datagram, 0, reserved_width);
    append_big_endian(datagram, static_cast<std::uint32_t>(rank), rank_width);
    append_big_endian(datagram, hash_fleet_name(fleet), fleet_hash_width);
    append_big_endian(datagram, static_cast<std::uint32_t>(payload.size()), length_width);
    return datagram.append(payload);
}

DecodedEnvelope decode_envelope(std::string_view datagram, std::string_view fleet, int instances) {
    const auto drop = [](DropReason reason) { return DecodedEnvelope{reason, -1, {}}; };
    if (!datagram.starts_with(magic)) return drop(DropReason::foreign_protocol);
    if (datagram.size() < magic.size() + version_width) return drop(DropReason::truncated);
    if (read_big_endian(datagram, version_offset, version_width) != envelope_version)
        return drop(DropReason::version_mismatch);
    if (datagram.size() < envelope_header_bytes ||
        datagram.size() - envelope_header_bytes !=
            read_big_endian(datagram, length_offset, length_width))
        return drop(DropReason::truncated);
    if (read_big_endian(datagram, fleet_hash_offset, fleet_hash_width) != hash_fleet_name(fleet))
        return drop(DropReason::fleet_mismatch);
    const int rank = static_cast<int>(read_big_endian(datagram, rank_offset, rank_width));
    if (rank >= instances) return drop(DropReason::unknown_rank);
    return {DropReason::none, rank, datagram.substr(envelope_header_bytes)};
}

}  // namespace silverreach::peers
