#include "peers/envelope_transport.h"

namespace silverreach::peers {
namespace {
std::vector<DatagramAddress> addresses_by_rank(const config::Config& config) {
    const auto& peers = config.peers().peer();
    std::vector<config::Endpoint> endpoints(static_cast<std::size_t>(peers.size()));
    for (const auto& peer : peers)
        endpoints[static_cast<std::size_t>(peer.rank())] = *config::parse_endpoint(peer.address());
    return {endpoints.begin(), endpoints.end()};
}
}  // namespace

EnvelopeTransport::EnvelopeTransport(event::Loop& loop, const config::Config& config,
                                     OnPeerMessage on_message)
    : config_(config),
      on_message_(std::move(on_message)),
      rank_(config.peers().rank()),
      addresses_(addresses_by_rank(config)),
      socket_(loop, addresses_[static_cast<std::size_t>(rank_)],
              "peers: cannot open a socket at this instance's address",
              envelope_header_bytes + max_envelope_payload_bytes,
              [this](std::string_view datagram, const sockaddr_storage& from) {
                  on_datagram(datagram, from);
              }) {}

void EnvelopeTransport::send(int rank, std::string_view payload) {
    const std::string datagram = encode_envelope(payload, rank_, config_.fleet());
    for (int peer = 0; peer < static_cast<int>(addresses_.size()); ++peer) {
        if (peer == rank_ || (rank >= 0 && rank != peer)) continue;
        const bool sent = socket_.send_to(addresses_[static_cast<std::size_t>(peer)], datagram);
        ++(sent ? stats_.sent : stats_.lost);
    }
}

void EnvelopeTransport::on_datagram(std::string_view datagram, const sockaddr_storage& from) {
    DecodedEnvelope envelope =
        decode_envelope(datagram, config_.fleet(), static_cast<int>(addresses_.size()));
    if (envelope.drop_reason == DropReason::none &&
        (envelope.rank == rank_ ||
         !addresses_[static_cast<std::size_t>(envelope.rank)].matches(from)))
        envelope.drop_reason = DropReason::address_mismatch;
    if (envelope.drop_reason != DropReason::none) {
        ++stats_.dropped[static_cast<std::size_t>(envelope.drop_reason)];
        return;
    }
    ++stats_.received;
    on_message_(envelope.rank, std::string(envelope.payload));
}

}  // namespace silverreach::peers
