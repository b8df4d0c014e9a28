#include "decisions/quota/lease_codec.h"

#include <algorithm>
#include <cmath>

namespace silverreach {
namespace {

constexpr std::uint32_t format_byte = 0xA9;
enum class MessageType : std::uint8_t {
    lease_request = 1,
    lease_grant = 2
};
constexpr int type_bytes = 1;
constexpr int checksum_bytes = 2;
// Sizes of the messages without their type.
constexpr std::size_t lease_request_bytes = 25;
constexpr std::size_t lease_grant_bytes = 16;
static_assert(1 + max_messages_per_datagram * (type_bytes + lease_request_bytes) + checksum_bytes <=
              max_datagram_bytes);

// An amount is encoded as mantissa << exponent, in steps of lease_unit_step.
constexpr int mantissa_bits = 12;
constexpr std::uint32_t max_mantissa = (1U << mantissa_bits) - 1;
constexpr std::uint32_t max_exponent = 15;

enum class Rounding {
    up,
    down
};

class Writer {
  public:
    void write(std::uint32_t value, int byte_count) {
        for (int i = 0; i < byte_count; ++i)
            bytes_.push_back(static_cast<char>((value >> (8 * i)) & 0xFF));
    }
    void write_type(MessageType type) { write(static_cast<std::uint32_t>(type), type_bytes); }
    void write_units(double units, Rounding rounding) {
        const double max_scaled = static_cast<double>(max_mantissa) * (1U << max_exponent);
        double mantissa = std::clamp(units / lease_unit_step, 0.0, max_scaled);
        std::uint32_t exponent = 0;
        for (; mantissa > max_mantissa; mantissa /= 2)
            ++exponent;
        if (rounding == Rounding::up) mantissa = std::ceil(mantissa);
        write(exponent << mantissa_bits | static_cast<std::uint32_t>(mantissa), 2);
    }
    void write_share(double share) {
        const double steps = std::clamp(share, 0.0, 1.0) * (1 / standing_share_step);
        write(static_cast<std::uint32_t>(std::lround(steps)), 2);
    }
    void write_checksum() { write(hash_name(bytes_), checksum_bytes); }
    std::string take_bytes() { return std::move(bytes_); }

  private:
    std::string bytes_;
};

// The caller checks remaining() before it reads.
class Reader {
  public:
    explicit Reader(std::string_view bytes) : bytes_(bytes) {}

    std::size_t remaining() const { return bytes_.size(); }
    std::uint32_t read(int byte_count) {
        std::uint32_t value = 0;
        for (int i = 0; i < byte_count; ++i)
            value |= std::uint32_t{static_cast<unsigned char>(bytes_[i])} << (8 * i);
        bytes_.remove_prefix(byte_count);
        return value;
    }
    int read_int(int byte_count) { return static_cast<int>(read(byte_count)); }
    double read_units() {
        const std::uint32_t value = read(2);
        return ((value & max_mantissa) << (value >> mantissa_bits)) * lease_unit_step;
    }
    double read_share() { return read(2) / (1 / standing_share_step); }

  private:
    std::string_view bytes_;
};

void write_message(Writer& writer, const LeaseRequest& request) {
    writer.write_type(MessageType::lease_request);
    writer.write(request.nonce, 4);
    writer.write(request.customer_hash, 4);
    writer.write(static_cast<std::uint32_t>(request.plan), 1);
    writer.write(static_cast<std::uint32_t>(request.subset_size), 2);
    writer.write(static_cast<std::uint32_t>(request.subset_start), 2);
    writer.write_units(request.required_units, Rounding::up);
    writer.write_units(request.extra_units, Rounding::up);
    writer.write_units(request.ceiling_units, Rounding::up);
    writer.write_units(request.demand_rate, Rounding::up);
    writer.write_units(request.returned_units, Rounding::down);
    writer.write_share(request.standing_share);
}

void write_message(Writer& writer, const LeaseGrant& grant) {
    constexpr std::uint32_t max_wait_ms = 65535;
    writer.write_type(MessageType::lease_grant);
    writer.write(grant.nonce, 4);
    writer.write_units(grant.units, Rounding::down);
    writer.write_units(grant.ceiling_units, Rounding::down);
    writer.write(std::min(grant.wait_ms, max_wait_ms), 2);
    writer.write_units(grant.demand_rate, Rounding::down);
    writer.write_share(grant.standing_share);
    writer.write(static_cast<std::uint32_t>(grant.holder_count), 2);
}

LeaseRequest read_lease_request(Reader& reader) {
    LeaseRequest request;
    request.nonce = reader.read(4);
    request.customer_hash = reader.read(4);
    request.plan = reader.read_int(1);
    request.subset_size = reader.read_int(2);
    request.subset_start = reader.read_int(2);
    request.required_units = reader.read_units();
    request.extra_units = reader.read_units();
    request.ceiling_units = reader.read_units();
    request.demand_rate = reader.read_units();
    request.returned_units = reader.read_units();
    request.standing_share = reader.read_share();
    return request;
}

LeaseGrant read_lease_grant(Reader& reader) {
    LeaseGrant grant;
    grant.nonce = reader.read(4);
    grant.units = reader.read_units();
    grant.ceiling_units = reader.read_units();
    grant.wait_ms = reader.read(2);
    grant.demand_rate = reader.read_units();
    grant.standing_share = reader.read_share();
    grant.holder_count = reader.read_int(2);
    return grant;
}

}  // namespace

double round_down_to_step(double amount, double step) {
    return std::floor(amount / step) * step;
}

std::string encode(const std::vector<PeerMessage>& messages) {
    Writer writer;
    writer.write(format_byte, 1);
    for (std::size_t i = 0; i < std::min(messages.size(), max_messages_per_datagram); ++i)
        std::visit([&](const auto& message) { write_message(writer, message); }, messages[i]);
    writer.write_checksum();
    return writer.take_bytes();
}

std::optional<std::vector<PeerMessage>> decode(std::string_view bytes) {
    if (bytes.size() < 1 + checksum_bytes || bytes.size() > max_datagram_bytes) return std::nullopt;
    Reader checksum(bytes.substr(bytes.size() - checksum_bytes));
    bytes.remove_suffix(checksum_bytes);
    if (checksum.read(checksum_bytes) != (hash_name(bytes) & 0xFFFF)) return std::nullopt;
    Reader reader(bytes);
    if (reader.read(1) != format_byte) return std::nullopt;
    std::vector<PeerMessage> messages;
    while (reader.remaining() > 0) {
        const auto type = static_cast<MessageType>(reader.read(type_bytes));
        if (type == MessageType::lease_request && reader.remaining() >= lease_request_bytes)
            messages.emplace_back(read_lease_request(reader));
        else if (type == MessageType::lease_grant && reader.remaining() >= lease_grant_bytes)
            messages.emplace_back(read_lease_grant(reader));
        else
            return std::nullopt;
    }
    return messages;
}

}  // namespace silverreach
