// Sends lease messages to the other instances within their intake, and knows which of them are
// unresponsive.
//
// Messages of one event to one peer travel together. Requests go out at once while they are few;
// what comes faster than the peer's intake allows is delayed and bundled, requests with
// waiting clients first. Grants always go at once: they are as many as requests received.
#pragma once

#include <string>
#include <unordered_map>
#include <vector>

#include "decisions/decision_context.h"
#include "decisions/quota/lease_codec.h"

namespace silverreach {

// Of a peer's intake (Settings::peer_messages_per_second) that its senders use together.
inline constexpr double usable_intake_share = 0.8;

// Single-threaded like the engine.
class PeerMailbox {
  public:
    // `context` outlives this.
    explicit PeerMailbox(DecisionContext& context) : context_(context) {}

    // Queues a message for flush(). A full outbox drops it: leases recover from lost messages.
    // `holder_count`: instances that send to this owner. Returns how long the request is expected
    // to be delayed.
    Micros post_request(int rank, const LeaseRequest& request, int holder_count);
    void post_grant(int rank, const LeaseGrant& grant);
    // Sends what this event posted, as far as the peers' intake allows.
    void flush();
    // The timer for delayed messages fired.
    void on_outbox_timer(int rank);

    void on_message_received(int rank);
    void on_request_lost(int rank);
    // True for a while after several requests in a row were lost.
    bool is_unresponsive(int rank) const;

    // Drops peers to which nothing was sent for `idle_timeout`.
    void remove_idle(Micros idle_timeout);

  private:
    static constexpr double burst_messages = 3;  // that may go to a peer at once

    struct Peer {
        int requests_lost = 0;  // in a row
        Micros unresponsive_until{0};
        Micros last_received{0};
        int holder_count = 1;  // instances that share this peer's intake
        double send_tokens = burst_messages;
        Micros tokens_refilled_at{0};
        std::vector<PeerMessage> outbox;
        int grants_in_outbox = 0;
        bool timer_pending = false;
    };

    Micros post(int rank, const PeerMessage& message, bool urgent);
    void send_outbox(int rank, Peer& peer);
    double send_rate(const Peer& peer) const;

    DecisionContext& context_;
    std::unordered_map<int, Peer> peers_;  // by rank
    std::vector<int> posted_to_;           // ranks with messages of this event
    // Peers that sent something in the current counting window, and in the one before.
    int active_peers_ = 0;
    int previous_active_peers_ = 0;
    Micros window_began_{0};
};

}  // namespace silverreach
