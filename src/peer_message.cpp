#include "peer_message.h"

namespace silverreach {
namespace {
constexpr unsigned char format_mark = 0xA7;
constexpr std::size_t head_bytes = 9, use_bytes = 7, host_bytes = 3, check_bytes = 2;

void put(std::string& out, std::uint32_t value, int bytes) {
    for (int i = 0; i < bytes; ++i) out.push_back(static_cast<char>((value >> (8 * i)) & 0xFF));
}

std::uint32_t take(std::string_view& in, int bytes) {
    std::uint32_t value = 0;
    for (int i = 0; i < bytes; ++i) value |= std::uint32_t{static_cast<unsigned char>(in[i])} << (8 * i);
    in.remove_prefix(bytes);
    return value;
}
}  // namespace

std::size_t uses_that_fit(std::size_t hosts) {
    const std::size_t taken = head_bytes + check_bytes + hosts * host_bytes;
    return taken >= max_message_bytes ? 0 : (max_message_bytes - taken) / use_bytes;
}

std::uint32_t name_hash(std::string_view name) {
    std::uint32_t h = 2166136261u;  // FNV-1a
    for (unsigned char c : name) h = (h ^ c) * 16777619u;
    return h;
}

std::string pack(const PeerNews& news) {
    std::string out;
    put(out, format_mark, 1);
    put(out, news.life, 4);
    put(out, news.sequence, 2);
    put(out, static_cast<std::uint32_t>(news.uses.size()), 1);
    put(out, static_cast<std::uint32_t>(news.hosts.size()), 1);
    for (const PeerUse& use : news.uses) {
        put(out, use.customer, 4);
        put(out, use.total % total_modulus, 3);
    }
    for (const PeerOutstanding& host : news.hosts) {
        put(out, host.host, 2);
        put(out, host.count, 1);
    }
    put(out, name_hash(out), check_bytes);
    return out;
}

std::optional<PeerNews> unpack(std::string_view in) {
    if (in.size() < head_bytes + check_bytes || in.size() > max_message_bytes) return std::nullopt;
    std::string_view tail = in.substr(in.size() - check_bytes);
    in.remove_suffix(check_bytes);
    if (take(tail, check_bytes) != (name_hash(in) & 0xFFFF)) return std::nullopt;
    if (take(in, 1) != format_mark) return std::nullopt;
    PeerNews news;
    news.life = take(in, 4);
    news.sequence = static_cast<std::uint16_t>(take(in, 2));
    const std::size_t uses = take(in, 1), hosts = take(in, 1);
    if (in.size() != uses * use_bytes + hosts * host_bytes) return std::nullopt;
    for (std::size_t i = 0; i < uses; ++i) {
        const std::uint32_t customer = take(in, 4);
        news.uses.push_back({customer, take(in, 3)});
    }
    for (std::size_t i = 0; i < hosts; ++i) {
        const auto host = static_cast<std::uint16_t>(take(in, 2));
        news.hosts.push_back({host, static_cast<std::uint8_t>(take(in, 1))});
    }
    return news;
}

}  // namespace silverreach
