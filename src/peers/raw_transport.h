// PeerTransport in the platform's format: a datagram contains only the message. The sender is
// identified by its address; datagrams from unknown addresses and oversized ones are dropped.
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
    // `peers` holds the addresses by rank, including this instance's. `broadcast` is an address
    // that reaches all other instances. Throws UnsupportedPeerAddress if an address is not IPv4,
    // and event::SystemError if `listen` cannot be bound. `loop` must outlive this.
    RawTransport(event::Loop& loop, const config::Endpoint& listen,
                 const std::vector<config::Endpoint>& peers,
                 const std::optional<config::Endpoint>& broadcast, int rank,
                 OnPeerMessage on_message);

    // A payload above max_payload_bytes is lost and counted.
    void send(int rank, std::string_view payload) override;

    // Numbers of datagrams since construction.
    struct Stats {
        std::uint64_t sent = 0;
        std::uint64_t received = 0;
        std::uint64_t lost = 0;     // oversized, or not accepted by the socket
        std::uint64_t dropped = 0;  // received but not accepted
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
