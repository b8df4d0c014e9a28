// PeerTransport of the platform: a datagram is the message alone. The sender is identified by its
// address; datagrams from other addresses, or too long, are dropped.
#pragma once

#include <cstdint>
#include <optional>
#include <stdexcept>
#include <vector>

#include "peers/datagram_socket.h"
#include "peers/peer_transport.h"

namespace silverreach::peers {

// An address that this transport cannot use.
struct UnsupportedPeerAddress : std::runtime_error {
    using std::runtime_error::runtime_error;
};

class RawTransport : public PeerTransport {
  public:
    static constexpr std::size_t max_payload_bytes = 256;
    // `peers`: by rank, this instance included. `broadcast`: an address that reaches every other
    // instance. Throws UnsupportedPeerAddress where an address is not IPv4, event::SystemError
    // where `listen` cannot be bound. `loop` must outlive this.
    RawTransport(event::Loop& loop, const config::Endpoint& listen,
                 const std::vector<config::Endpoint>& peers,
                 const std::optional<config::Endpoint>& broadcast, int rank,
                 OnPeerMessage on_message);

    // A payload over the limit is lost.
    void send(int rank, std::string_view payload) override;

    // Datagrams since the start.
    struct Stats {
        std::uint64_t sent = 0;
        std::uint64_t received = 0;
        std::uint64_t lost = 0;     // too long, or not taken by the socket
        std::uint64_t dropped = 0;  // received and not accepted
    };
    const Stats& stats() const { return stats_; }

  private:
    void send_to(const DatagramAddress& to, std::string_view payload);
    void on_datagram(std::string_view datagram, const sockaddr_storage& from);

    OnPeerMessage on_message_;
    int rank_;
    std::vector<DatagramAddress> addresses_;  // by rank
    std::optional<DatagramAddress> broadcast_;
    DatagramSocket socket_;
    Stats stats_;
};

}  // namespace silverreach::peers
