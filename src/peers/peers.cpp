#include "peers/peers.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <xxhash.h>

#include <array>
#include <cerrno>
#include <cstring>
#include <stdexcept>

#include "event/system_error.h"

namespace silverreach::peers {
namespace {
constexpr std::string_view magic = "SRCH";
constexpr int receives_a_turn = 64;

void put(std::string& out, std::uint32_t value, int bytes) {
    for (int i = bytes - 1; i >= 0; --i)
        out.push_back(static_cast<char>(value >> (8 * i) & 0xFF));
}
std::uint32_t get(std::string_view in, std::size_t at, int bytes) {
    std::uint32_t value = 0;
    for (int i = 0; i < bytes; ++i)
        value = value << 8 | static_cast<unsigned char>(in[at + static_cast<std::size_t>(i)]);
    return value;
}
std::uint32_t fleet_hash(std::string_view fleet) {
    return XXH32(fleet.data(), fleet.size(), 0);
}
}  // namespace

std::string_view to_string(Drop drop) {
    constexpr std::array<std::string_view, drop_kinds> names = {
        "none",        "cut short",    "not ours",      "other version",
        "other fleet", "unknown rank", "from elsewhere"};
    return names[static_cast<std::size_t>(drop)];
}

std::string seal(std::string_view payload, int rank, std::string_view fleet) {
    std::string out(magic);
    put(out, envelope_version, 1);
    put(out, 0, 1);
    put(out, static_cast<std::uint32_t>(rank), 2);
    put(out, fleet_hash(fleet), 4);
    put(out, static_cast<std::uint32_t>(payload.size()), 2);
    return out.append(payload);
}

Opened open(std::string_view d, std::string_view fleet, int instances) {
    const auto drop = [](Drop why) { return Opened{why, -1, {}}; };
    if (d.size() < magic.size() || !d.starts_with(magic)) return drop(Drop::not_ours);
    if (d.size() < magic.size() + 1) return drop(Drop::cut_short);
    if (get(d, 4, 1) != envelope_version) return drop(Drop::other_version);
    if (d.size() < envelope_size || d.size() - envelope_size != get(d, 12, 2))
        return drop(Drop::cut_short);
    if (get(d, 8, 4) != fleet_hash(fleet)) return drop(Drop::other_fleet);
    const int rank = static_cast<int>(get(d, 6, 2));
    if (rank >= instances) return drop(Drop::unknown_rank);
    return {Drop::none, rank, d.substr(envelope_size)};
}

struct Peers::Address {
    sockaddr_storage storage{};
    socklen_t size = 0;
    explicit Address(const config::Endpoint& e) {
        const auto port = htons(static_cast<std::uint16_t>(e.port));
        if (e.v6) {
            auto* six = reinterpret_cast<sockaddr_in6*>(&storage);
            six->sin6_family = AF_INET6, six->sin6_port = port, size = sizeof *six;
            inet_pton(AF_INET6, e.ip.c_str(), &six->sin6_addr);
        } else {
            auto* four = reinterpret_cast<sockaddr_in*>(&storage);
            four->sin_family = AF_INET, four->sin_port = port, size = sizeof *four;
            inet_pton(AF_INET, e.ip.c_str(), &four->sin_addr);
        }
    }
    const sockaddr* get() const { return reinterpret_cast<const sockaddr*>(&storage); }
    bool same(const sockaddr_storage& o) const {
        if (o.ss_family != storage.ss_family) return false;
        if (o.ss_family == AF_INET6) {
            const auto& a = reinterpret_cast<const sockaddr_in6&>(storage);
            const auto& b = reinterpret_cast<const sockaddr_in6&>(o);
            return a.sin6_port == b.sin6_port &&
                   std::memcmp(&a.sin6_addr, &b.sin6_addr, sizeof a.sin6_addr) == 0;
        }
        const auto& a = reinterpret_cast<const sockaddr_in&>(storage);
        const auto& b = reinterpret_cast<const sockaddr_in&>(o);
        return a.sin_port == b.sin_port && a.sin_addr.s_addr == b.sin_addr.s_addr;
    }
};

Peers::Peers(event::Loop& loop, const config::Config& config,
             std::function<void(int, std::string)> arrived)
    : config_(config), arrived_(std::move(arrived)), rank_(config.peers().rank()) {
    addresses_.resize(static_cast<std::size_t>(config.peers().peer_size()));
    for (const auto& peer : config.peers().peer())
        addresses_[static_cast<std::size_t>(peer.rank())] =
            std::make_unique<Address>(*config::parse_endpoint(peer.address()));
    const Address& own = *addresses_[static_cast<std::size_t>(rank_)];
    fd_ = event::Fd(::socket(own.storage.ss_family, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    if (!fd_ || ::bind(fd_.get(), own.get(), own.size) != 0)
        throw event::SystemError("peers: no socket at this instance's own address: " +
                                 std::string(std::strerror(errno)));
    io_ = std::make_unique<event::IoWatcher>(loop, fd_.get(), [this](int) { receive(); });
    io_->want(event::readable);
}
Peers::~Peers() = default;

void Peers::send(int rank, std::string_view payload) {
    const std::string datagram = seal(payload, rank_, config_.fleet());
    for (int i = 0; i < static_cast<int>(addresses_.size()); ++i)
        if (i != rank_ && (rank < 0 || rank == i)) send_to(i, datagram);
}
void Peers::send_to(int rank, std::string_view datagram) {
    const Address& to = *addresses_[static_cast<std::size_t>(rank)];
    const ssize_t n =
        ::sendto(fd_.get(), datagram.data(), datagram.size(), MSG_NOSIGNAL, to.get(), to.size);
    ++(n < 0 ? stats_.lost : stats_.sent);
}

void Peers::receive() {
    char buffer[envelope_size + most_payload + 1];
    for (int i = 0; i < receives_a_turn; ++i) {
        sockaddr_storage from{};
        socklen_t size = sizeof from;
        const ssize_t n = ::recvfrom(fd_.get(), buffer, sizeof buffer, MSG_TRUNC,
                                     reinterpret_cast<sockaddr*>(&from), &size);
        if (n < 0 && errno == ECONNREFUSED) continue;  // an earlier datagram found nobody
        if (n < 0) return;
        const std::size_t got = std::min(static_cast<std::size_t>(n), sizeof buffer);
        Opened opened = open({buffer, got}, config_.fleet(), static_cast<int>(addresses_.size()));
        if (opened.drop == Drop::none &&
            (opened.rank == rank_ ||
             !addresses_[static_cast<std::size_t>(opened.rank)]->same(from)))
            opened.drop = Drop::elsewhere;
        if (opened.drop != Drop::none) {
            ++stats_.dropped[static_cast<std::size_t>(opened.drop)];
            continue;
        }
        ++stats_.received;
        arrived_(opened.rank, std::string(opened.payload));
    }
}

}  // namespace silverreach::peers
