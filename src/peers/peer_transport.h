// Carries messages between the instances of a fleet, each in one UDP datagram. Delivery is not
// guaranteed. Instances are addressed by rank.
#pragma once

#include <functional>
#include <string>
#include <string_view>

namespace silverreach::peers {

// Called on the loop's thread with the sender's rank.
using OnPeerMessage = std::function<void(int rank, std::string payload)>;

class PeerTransport {
  public:
    PeerTransport() = default;
    PeerTransport(const PeerTransport&) = delete;
    PeerTransport& operator=(const PeerTransport&) = delete;
    virtual ~PeerTransport() = default;

    // Sends `payload` to the instance `rank`, or to all other instances if `rank` is negative. A
    // datagram that the socket does not accept is lost and counted.
    virtual void send(int rank, std::string_view payload) = 0;
};

}  // namespace silverreach::peers
