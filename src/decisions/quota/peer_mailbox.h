// Sends lease messages to the other instances within the message rate that they accept, and tracks
// which of them are unresponsive.
//
// Messages of one event to one peer share datagrams. Lease requests are sent without delay up to
// the rate that the peer accepts; beyond it they are delayed and batched, those with waiting client
// requests first. Grants are sent without delay, because their number does not exceed that of the
// lease requests received.
#pragma once

#include <string>
#include <unordered_map>
#include <vector>

#include "decisions/decision_context.h"
#include "decisions/quota/lease_codec.h"

namespace silverreach {

// Share of Settings::peer_messages_per_second that all senders to one peer use together.
inline constexpr double usable_message_rate_share = 0.8;

// Single-threaded like the engine.
class PeerMailbox {
  public:
    // `context` outlives this.
    explicit PeerMailbox(DecisionContext& context) : context_(context) {}

    // Queues a message for flush(). If the outbox is full, the message is dropped, because leases
    // recover from lost messages. `holder_count` is the number of instances that send to this
    // owner. Returns the expected delay of the request.
    Micros post_request(int rank, const LeaseRequest& request, int holder_count);
    void post_grant(int rank, const LeaseGrant& grant);
    // Sends the messages of this event within the rates that the peers accept.
    void flush();
    // Call when the timer for delayed messages fires.
    void on_outbox_timer(int rank);

    void on_message_received(int rank);
    void on_request_lost(int rank);
    // True for a limited time after several consecutive requests were lost.
    bool is_unresponsive(int rank) const;

    // Removes the peers to which nothing was sent for `idle_timeout`.
    void remove_idle(Micros idle_timeout);

  private:
    // Datagrams that may be sent to a peer in a burst.
    static constexpr double max_send_tokens = 3;

    struct Peer {
        int lost_requests = 0;  // consecutive
        Micros unresponsive_until{0};
        Micros last_received_at{0};
        int holder_count = 1;  // instances that share the message rate of this peer
        double send_tokens = max_send_tokens;
        Micros tokens_refilled_at{0};
        std::vector<PeerMessage> outbox;
        int grants_in_outbox = 0;
        bool is_timer_pending = false;
    };

    Micros post(int rank, const PeerMessage& message, bool is_urgent);
    void send_outbox(int rank, Peer& peer);
    double send_rate(const Peer& peer) const;

    DecisionContext& context_;
    std::unordered_map<int, Peer> peers_;  // by rank
    std::vector<int> posted_ranks_;        // ranks of the peers that have messages of this event
    // Numbers of peers that sent something in the current counting window and in the previous one.
    int active_peers_ = 0;
    int previous_active_peers_ = 0;
    Micros window_started_at_{0};
};

}  // namespace silverreach
