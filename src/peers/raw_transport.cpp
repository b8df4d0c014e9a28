#include "peers/raw_transport.h"

#include <algorithm>

namespace silverreach::peers {
namespace {
DatagramAddress ipv4_address(const config::Endpoint& endpoint) {
    if (endpoint.is_ipv6) throw UnsupportedPeerAddress("peers: only IPv4 addresses are supported");
    return DatagramAddress(endpoint);
}
std::vector<DatagramAddress> ipv4_addresses(const std::vector<config::Endpoint>& endpoints) {
    std::vector<DatagramAddress> addresses;
    addresses.reserve(endpoints.size());
    for (const config::Endpoint& endpoint : endpoints)
        addresses.push_back(ipv4_address(endpoint));
    return addresses;
}
}  // namespace

RawTransport::RawTransport(event::Loop& loop, const config::Endpoint& listen,
                           const std::vector<config::Endpoint>& peers,
                           const std::optional<config::Endpoint>& broadcast, int rank,
                           OnPeerMessage on_message)
    : on_message_(std::move(on_message)),
      rank_(rank),
      addresses_(ipv4_addresses(peers)),
      broadcast_(broadcast ? std::optional(ipv4_address(*broadcast)) : std::nullopt),
      socket_(loop, ipv4_address(listen), "peers: cannot open a socket at " + listen.to_string(),
              max_payload_bytes, [this](std::string_view datagram, const sockaddr_storage& from) {
                  on_datagram(datagram, from);
              }) {}

void RawTransport::send(int rank, std::string_view payload) {
    if (payload.size() > max_payload_bytes) {
        ++stats_.lost;
        return;
    }
    if (rank < 0 && broadcast_) return send_to(*broadcast_, payload);
    for (int peer = 0; peer < static_cast<int>(addresses_.size()); ++peer)
        if (peer != rank_ && (rank < 0 || rank == peer))
            send_to(addresses_[static_cast<std::size_t>(peer)], payload);
}

void RawTransport::send_to(const DatagramAddress& to, std::string_view payload) {
    ++(socket_.send_to(to, payload) ? stats_.sent : stats_.lost);
}

void RawTransport::on_datagram(std::string_view datagram, const sockaddr_storage& from) {
    const auto sender =
        std::find_if(addresses_.begin(), addresses_.end(),
                     [&](const DatagramAddress& address) { return address.matches(from); });
    const int rank = static_cast<int>(sender - addresses_.begin());
    if (sender == addresses_.end() || rank == rank_ || datagram.size() > max_payload_bytes) {
        ++stats_.dropped;
        return;
    }
    ++stats_.received;
    on_message_(rank, std::string(datagram));
}

}  // namespace silverreach::peers
