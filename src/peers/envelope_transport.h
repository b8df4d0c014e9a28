// PeerTransport with an envelope around each message (peers/envelope.h). A datagram is accepted if
// its envelope names this fleet and another instance, and its source is that instance's address.
#pragma once

#include <array>
#include <cstdint>
#include <vector>

#include "peers/datagram_socket.h"
#include "peers/envelope.h"
#include "peers/peer_transport.h"

namespace silverreach::peers {

class EnvelopeTransport : public PeerTransport {
  public:
    // Throws event::SystemError if this instance's address cannot be bound. `loop` and `config`
    // must outlive this.
    EnvelopeTransport(event::Loop& loop, const config::Config& config, OnPeerMessage on_message);

    void send(int rank, std::string_view payload) override;

    // Numbers of datagrams since construction.
    struct Stats {
        std::uint64_t sent = 0;
        std::uint64_t received = 0;
        std::uint64_t lost = 0;                                  // not accepted by the socket
        std::array<std::uint64_t, drop_reason_count> dropped{};  // by DropReason
    };
    const Stats& stats() const { return stats_; }

  private:
    void on_datagram(std::string_view datagram, const sockaddr_storage& from);

    const config::Config& config_;
    OnPeerMessage on_message_;
    int rank_;
    std::vector<DatagramAddress> addresses_;  // by rank
    DatagramSocket socket_;
    Stats stats_;
};

}  // namespace silverreach::peers
