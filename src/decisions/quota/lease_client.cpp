#include "decisions/quota/lease_client.h"

#include <algorithm>
#include <utility>

#include "decisions/decaying_counter.h"

namespace silverreach {
namespace {

constexpr int max_candidates = 3;     // the owner and its successors
constexpr int max_sent_requests = 4;  // lease requests until a grant or fallback
constexpr Micros min_request_timeout{150'000};
// Time after which a lease request counts as lost, in mean response times. If response times are
// exponentially distributed, a response takes longer with a probability of e^-3.5, 3%.
constexpr double request_timeout_factor = 3.5;
constexpr double mean_response_weight = 0.05;  // of one response in the mean
constexpr int renewal_timeout_factor = 2;      // no client request waits for a renewal
// Age of a grant, in request timeouts, above which its ceiling units are discarded: this instance
// has stalled, and the owner may count these units as unused.
constexpr int max_grant_age_timeouts = 2;

}  // namespace

LeaseClient::LeaseClient(const Dependencies& dependencies, std::uint32_t first_nonce)
    : context_(dependencies.context),
      listener_(dependencies.listener),
      terms_(dependencies.terms),
      ledger_(dependencies.ledger),
      mailbox_(dependencies.mailbox),
      next_nonce_(first_nonce) {}

void LeaseClient::wait_for_lease(CustomerQuota& customer, RequestId id) {
    customer.pending_lease.waiting_requests.push_back(id);
    if (!customer.pending_lease.is_in_flight()) request_lease(customer);
}

// Requests the units that the first waiting request lacks, or a renewal if none waits. The owner
// and its successors are considered in this order; for a renewal, or if the owner has reported
// recently, only the owner is considered, so that no successor grants units in parallel.
void LeaseClient::request_lease(CustomerQuota& customer) {
    PendingLease& pending = customer.pending_lease;
    while (!pending.waiting_requests.empty() &&
           !listener_.waiting_units(pending.waiting_requests.front()))
        pending.waiting_requests.pop_front();
    const bool has_waiting_requests = !pending.waiting_requests.empty();
    const LeaseRequest request = customer.make_lease_request(
        next_nonce_, has_waiting_requests
                         ? listener_.waiting_units(pending.waiting_requests.front())
                         : std::nullopt);
    const Settings& settings = context_.settings;
    const int candidate_count =
        has_waiting_requests && !customer.has_recent_owner_report() ? max_candidates : 1;
    for (int candidate = 0;
         candidate < candidate_count && pending.sent_requests < max_sent_requests; ++candidate) {
        const int rank = quota_owner(customer.subset(), candidate, settings.instance_count);
        if (rank == settings.rank) return handle_grant(customer, ledger_.grant(request, rank));
        if (!settings.may_message_peers) continue;
        if (has_waiting_requests && mailbox_.is_unresponsive(rank)) continue;
        return send_request(customer, request, rank, has_waiting_requests);
    }
    fall_back_to_even_share(customer);
}

void LeaseClient::send_request(CustomerQuota& customer, const LeaseRequest& request, int rank,
                               bool has_waiting_requests) {
    customer.pending_lease.nonce = request.nonce;
    next_nonce_ += 2;  // odd, hence never 0
    const Micros outbox_delay = mailbox_.post_request(rank, request, customer.holder_count());
    in_flight_[request.nonce] = {&customer, rank, context_.now + outbox_delay};
    ++customer.pending_lease.sent_requests;
    context_.start_timer(
        request_timeout() * (has_waiting_requests ? 1 : renewal_timeout_factor) + outbox_delay,
        TimerKind::lease_request, request.nonce);
}

void LeaseClient::fall_back_to_even_share(CustomerQuota& customer) {
    customer.pending_lease.sent_requests = 0;
    schedule_renewal(customer);
    for (const RequestId id : std::exchange(customer.pending_lease.waiting_requests, {})) {
        const std::optional<double> units = listener_.waiting_units(id);
        if (!units) continue;
        if (const auto retry_after = customer.admit_by_even_share(*units, request_timeout()))
            listener_.on_quota_denied(id, *retry_after);
        else
            listener_.on_quota_granted(id);
    }
}

void LeaseClient::on_granted(int rank, LeaseGrant grant) {
    const auto it = in_flight_.find(grant.nonce);
    if (it == in_flight_.end() || it->second.rank != rank) return;
    const Micros grant_age = context_.now - it->second.sent_at;
    mean_response_s_ += mean_response_weight * (seconds(grant_age) - mean_response_s_);
    if (grant_age > max_grant_age_timeouts * request_timeout()) grant.ceiling_units = 0;
    handle_grant(end_request(it), grant);
}

void LeaseClient::on_request_timeout(std::uint32_t nonce) {
    const auto it = in_flight_.find(nonce);
    if (it == in_flight_.end()) return;
    if (context_.stall_detector.is_stalled(context_.now))
        return context_.start_timer(min_request_timeout, TimerKind::lease_request, nonce);
    mailbox_.on_request_lost(it->second.rank);
    request_lease(end_request(it));
}

// Applies a grant, which may be empty, and admits the waiting requests that are covered now. If any
// was admitted, requests another lease for the others; if none was, denies them.
void LeaseClient::handle_grant(CustomerQuota& customer, const LeaseGrant& grant) {
    customer.pending_lease.sent_requests = 0;
    customer.apply_grant(grant);
    if (customer.has_standing_lease() || customer.is_steady()) schedule_renewal(customer);
    const bool any_admitted = admit_waiting(customer);
    customer.refill();
    if (customer.pending_lease.waiting_requests.empty()) return;
    if (any_admitted) return request_lease(customer);
    deny_waiting(customer, std::max(min_request_timeout, Micros(grant.wait_ms * 1000)));
}

bool LeaseClient::admit_waiting(CustomerQuota& customer) {
    PendingLease& pending = customer.pending_lease;
    bool any_admitted = false;
    for (const RequestId id : std::exchange(pending.waiting_requests, {})) {
        const std::optional<double> units = listener_.waiting_units(id);
        if (!units) continue;
        if (customer.missing_units(*units) > 0 || customer.missing_ceiling_units(*units) > 0) {
            pending.waiting_requests.push_back(id);
        } else {
            listener_.on_quota_granted(id);
            any_admitted = true;
        }
    }
    return any_admitted;
}

void LeaseClient::deny_waiting(CustomerQuota& customer, Micros retry_after) {
    for (const RequestId id : std::exchange(customer.pending_lease.waiting_requests, {})) {
        const std::optional<double> units = listener_.waiting_units(id);
        if (!units) continue;
        customer.record_shortage(*units, retry_after);
        listener_.on_quota_denied(id, retry_after);
    }
}

void LeaseClient::schedule_renewal(CustomerQuota& customer) {
    if (std::exchange(customer.pending_lease.is_renewal_scheduled, true)) return;
    renewals_.emplace(context_.now + terms_.renewal_period(customer.holder_count()), &customer);
}

void LeaseClient::on_heartbeat() {
    for (auto next = renewals_.begin(); next != renewals_.end();) {
        const auto it = next++;
        CustomerQuota& customer = *it->second;
        const bool should_return = customer.should_return_lease();
        if (it->first > context_.now && !should_return) continue;
        renewals_.erase(it);
        customer.pending_lease.is_renewal_scheduled = false;
        customer.refill();
        if (should_return) customer.drop_standing_lease();  // makes it available to other instances
        if (customer.pending_lease.is_in_flight())
            schedule_renewal(customer);
        else if (should_return || customer.has_standing_lease() || customer.is_steady())
            request_lease(customer);
    }
}

CustomerQuota& LeaseClient::end_request(InFlightRequests::iterator request) {
    CustomerQuota& customer = *request->second.customer;
    in_flight_.erase(request);
    customer.pending_lease.nonce = 0;
    return customer;
}

// Time after which a lease request counts as lost.
Micros LeaseClient::request_timeout() const {
    return std::max(min_request_timeout, micros(request_timeout_factor * mean_response_s_));
}

}  // namespace silverreach
