#include "decisions/quota/peer_mailbox.h"

#include <algorithm>
#include <utility>

#include "decisions/decaying_counter.h"

namespace silverreach {
namespace {

constexpr std::size_t max_outbox_messages = 200;
constexpr double min_send_rate = 0.2;          // datagrams per second to one peer
constexpr int unresponsive_lost_requests = 2;  // consecutive lost requests
constexpr Micros unresponsive_period{1'000'000};
constexpr Micros activity_window{1'000'000};

}  // namespace

Micros PeerMailbox::post_request(int rank, const LeaseRequest& request, int holder_count) {
    peers_[rank].holder_count = holder_count;
    return post(rank, request, request.required_units > 0);
}

void PeerMailbox::post_grant(int rank, const LeaseGrant& grant) {
    ++peers_[rank].grants_in_outbox;
    post(rank, grant, true);
}

Micros PeerMailbox::post(int rank, const PeerMessage& message, bool is_urgent) {
    Peer& peer = peers_[rank];
    if (peer.outbox.size() < max_outbox_messages)
        peer.outbox.insert(is_urgent ? peer.outbox.begin() : peer.outbox.end(), message);
    posted_ranks_.push_back(rank);
    return micros(std::max(0.0, 1 - peer.send_tokens) / send_rate(peer));
}

void PeerMailbox::flush() {
    for (const int rank : std::exchange(posted_ranks_, {}))
        send_outbox(rank, peers_[rank]);
}

void PeerMailbox::on_outbox_timer(int rank) {
    Peer& peer = peers_[rank];
    peer.is_timer_pending = false;
    send_outbox(rank, peer);
}

void PeerMailbox::send_outbox(int rank, Peer& peer) {
    const Micros now = context_.now;
    const double rate = send_rate(peer);
    peer.send_tokens =
        std::min(max_send_tokens, peer.send_tokens + rate * seconds(now - peer.tokens_refilled_at));
    peer.tokens_refilled_at = now;
    while (!peer.outbox.empty() && (peer.send_tokens >= 1 || peer.grants_in_outbox > 0)) {
        peer.send_tokens = std::max(0.0, peer.send_tokens - 1);
        context_.emit(SendPeerMessage{rank, encode(peer.outbox)});
        const auto sent_count =
            static_cast<std::ptrdiff_t>(std::min(peer.outbox.size(), max_messages_per_datagram));
        peer.grants_in_outbox = std::max(0, peer.grants_in_outbox - static_cast<int>(sent_count));
        peer.outbox.erase(peer.outbox.begin(), peer.outbox.begin() + sent_count);
    }
    if (peer.outbox.empty() || peer.is_timer_pending) return;
    peer.is_timer_pending = true;
    context_.start_timer(micros((1 - peer.send_tokens) / rate), TimerKind::peer_outbox,
                         static_cast<std::uint64_t>(rank));
}

// Datagrams per second to this peer: the usable rate that it accepts, divided by the number of its
// senders. That number is the number of its holders or of the recently active peers, whichever is
// larger.
double PeerMailbox::send_rate(const Peer& peer) const {
    const double senders =
        std::clamp(std::max({active_peers_, previous_active_peers_, peer.holder_count}), 1,
                   context_.settings.instance_count);
    return std::max(min_send_rate, context_.settings.peer_messages_per_second *
                                       usable_message_rate_share / senders);
}

void PeerMailbox::on_message_received(int rank) {
    const Micros now = context_.now;
    Peer& peer = peers_[rank];
    peer.lost_requests = 0;
    peer.unresponsive_until = Micros{0};
    if (now - window_started_at_ >= activity_window) {
        previous_active_peers_ = std::exchange(active_peers_, 0);
        window_started_at_ = now;
    }
    if (std::exchange(peer.last_received_at, now) < window_started_at_) ++active_peers_;
}

void PeerMailbox::on_request_lost(int rank) {
    Peer& peer = peers_[rank];
    if (++peer.lost_requests >= unresponsive_lost_requests)
        peer.unresponsive_until = context_.now + unresponsive_period;
}

bool PeerMailbox::is_unresponsive(int rank) const {
    const auto it = peers_.find(rank);
    return it != peers_.end() && context_.now < it->second.unresponsive_until;
}

void PeerMailbox::remove_idle(Micros idle_timeout) {
    std::erase_if(peers_, [&](const auto& entry) {
        return context_.now - entry.second.tokens_refilled_at >= idle_timeout;
    });
}

}  // namespace silverreach
