#include "decisions/quota/lease_codec.h"

#include <algorithm>
#include <cmath>

namespace silverreach {
namespace {
constexpr std::uint32_t format_mark = 0xA9, ask_mark = 1, given_mark = 2;
constexpr std::size_t check_bytes = 2, ask_bytes = 26, given_bytes = 17;
constexpr double sixteenths = 1 / lease_unit_step, parts = 1 / standing_share_step;
static_assert(1 + max_messages_per_datagram * ask_bytes + check_bytes <= max_message_bytes);

void put(std::string& out, std::uint32_t value, int bytes) {
    for (int i = 0; i < bytes; ++i)
        out.push_back(static_cast<char>((value >> (8 * i)) & 0xFF));
}
// 12 bits, to be shifted left by the other 4.
void put_units(std::string& out, double units, bool up) {
    double scaled = std::clamp(units * sixteenths, 0.0, 4095.0 * 32768);
    std::uint32_t shift = 0;
    for (; scaled > 4095; scaled /= 2)
        ++shift;
    put(out, shift << 12 | static_cast<std::uint32_t>(up ? std::ceil(scaled) : scaled), 2);
}
void put_part(std::string& out, double part) {
    put(out, static_cast<std::uint32_t>(std::lround(std::clamp(part, 0.0, 1.0) * parts)), 2);
}
void put_message(std::string& out, const LeaseRequest& ask) {
    put(out, ask_mark, 1);
    put(out, ask.nonce, 4);
    put(out, ask.customer_hash, 4);
    put(out, static_cast<std::uint32_t>(ask.plan), 1);
    put(out, static_cast<std::uint32_t>(ask.subset_size), 2);
    put(out, static_cast<std::uint32_t>(ask.subset_start), 2);
    for (const double units :
         {ask.required_units, ask.extra_units, ask.ceiling_units, ask.demand_rate})
        put_units(out, units, true);
    put_units(out, ask.returned_units, false);
    put_part(out, ask.standing_share);
}
void put_message(std::string& out, const LeaseGrant& given) {
    put(out, given_mark, 1);
    put(out, given.nonce, 4);
    put_units(out, given.units, false);
    put_units(out, given.ceiling_units, false);
    put(out, std::min<std::uint32_t>(given.wait_ms, 65535), 2);
    put_units(out, given.demand_rate, false);
    put_part(out, given.standing_share);
    put(out, static_cast<std::uint32_t>(given.holder_count), 2);
}

std::uint32_t take(std::string_view& in, int bytes) {
    std::uint32_t value = 0;
    for (int i = 0; i < bytes; ++i)
        value |= std::uint32_t{static_cast<unsigned char>(in[i])} << (8 * i);
    in.remove_prefix(bytes);
    return value;
}
double take_units(std::string_view& in) {
    const std::uint32_t value = take(in, 2);
    return ((value & 0xFFF) << (value >> 12)) / sixteenths;
}

LeaseRequest take_ask(std::string_view& in) {
    LeaseRequest ask;
    ask.nonce = take(in, 4);
    ask.customer_hash = take(in, 4);
    ask.plan = static_cast<int>(take(in, 1));
    ask.subset_size = static_cast<int>(take(in, 2));
    ask.subset_start = static_cast<int>(take(in, 2));
    ask.required_units = take_units(in);
    ask.extra_units = take_units(in);
    ask.ceiling_units = take_units(in);
    ask.demand_rate = take_units(in);
    ask.returned_units = take_units(in);
    ask.standing_share = take(in, 2) / parts;
    return ask;
}
LeaseGrant take_given(std::string_view& in) {
    LeaseGrant given;
    given.nonce = take(in, 4);
    given.units = take_units(in);
    given.ceiling_units = take_units(in);
    given.wait_ms = take(in, 2);
    given.demand_rate = take_units(in);
    given.standing_share = take(in, 2) / parts;
    given.holder_count = static_cast<int>(take(in, 2));
    return given;
}
}  // namespace

double round_down_to_step(double amount, double step) {
    return std::floor(amount / step) * step;
}

std::uint32_t hash_name(std::string_view name) {
    std::uint32_t h = 2166136261u;  // FNV-1a
    for (unsigned char c : name)
        h = (h ^ c) * 16777619u;
    return h;
}

std::string encode(const std::vector<PeerMessage>& messages) {
    std::string out;
    put(out, format_mark, 1);
    for (std::size_t i = 0; i < std::min(messages.size(), max_messages_per_datagram); ++i)
        std::visit([&](const auto& m) { put_message(out, m); }, messages[i]);
    put(out, hash_name(out), check_bytes);
    return out;
}

std::optional<std::vector<PeerMessage>> decode(std::string_view in) {
    if (in.size() < 1 + check_bytes || in.size() > max_message_bytes) return std::nullopt;
    std::string_view tail = in.substr(in.size() - check_bytes);
    in.remove_suffix(check_bytes);
    if (take(tail, check_bytes) != (hash_name(in) & 0xFFFF) || take(in, 1) != format_mark)
        return std::nullopt;
    std::vector<PeerMessage> messages;
    while (!in.empty()) {
        const std::uint32_t mark = take(in, 1);
        if (mark == ask_mark && in.size() >= ask_bytes - 1)
            messages.push_back(take_ask(in));
        else if (mark == given_mark && in.size() >= given_bytes - 1)
            messages.push_back(take_given(in));
        else
            return std::nullopt;
    }
    return messages;
}

}  // namespace silverreach
