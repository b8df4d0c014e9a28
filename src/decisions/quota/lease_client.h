// The holder's side of leases: requests them of the owner of a customer's quota, renews them ahead
// of need, and falls back where the owner does not respond.
//
// For each customer at most one lease request is in flight. Its states (PendingLease): none; in
// flight with requests of clients waiting; in flight for a renewal. A lease request ends by a grant
// or by its timeout. After a timeout the next attempt goes to the owner or one of its successors;
// after the last one the even share of the quota decides.
#pragma once

#include <cstdint>
#include <map>
#include <unordered_map>

#include "decisions/decision_context.h"
#include "decisions/quota/customer_quota.h"
#include "decisions/quota/lease_ledger.h"
#include "decisions/quota/lease_terms.h"
#include "decisions/quota/peer_mailbox.h"
#include "decisions/quota/quota_listener.h"

namespace silverreach {

// Single-threaded like the engine. Customers are referred to until their lease request ended and
// no renewal is scheduled.
class LeaseClient {
  public:
    // What it works with; all outlive it.
    struct Dependencies {
        DecisionContext& context;
        QuotaListener& listener;
        const LeaseTerms& terms;
        LeaseLedger& ledger;  // grants at once where the owner is this instance
        PeerMailbox& mailbox;
    };
    // `first_nonce`: of the first lease request to a peer, odd.
    LeaseClient(const Dependencies& dependencies, std::uint32_t first_nonce);

    // Queues a client's request until a lease covers it, and requests one. The listener gets the
    // result.
    void wait_for_lease(CustomerQuota& customer, RequestId id);
    // A grant arrived from `rank`; dropped where no request to it is in flight.
    void on_granted(int rank, LeaseGrant grant);
    // Ignored where the request already ended.
    void on_request_timeout(std::uint32_t nonce);
    // Renews the leases that are due, and returns those whose demand ended.
    void on_heartbeat();

  private:
    struct InFlightRequest {
        CustomerQuota* customer;
        int rank;  // that it was sent to
        Micros sent_at;
    };
    using InFlightRequests = std::unordered_map<std::uint32_t, InFlightRequest>;

    void request_lease(CustomerQuota& customer);
    void send(CustomerQuota& customer, const LeaseRequest& request, int rank, bool has_waiting);
    void fall_back_to_even_share(CustomerQuota& customer);
    void apply(CustomerQuota& customer, const LeaseGrant& grant);
    bool admit_waiting(CustomerQuota& customer);
    void deny_waiting(CustomerQuota& customer, Micros retry_after);
    void schedule_renewal(CustomerQuota& customer);
    CustomerQuota& end_request(InFlightRequests::iterator request);
    Micros request_timeout() const;

    DecisionContext& context_;
    QuotaListener& listener_;
    const LeaseTerms& terms_;
    LeaseLedger& ledger_;
    PeerMailbox& mailbox_;
    std::uint32_t next_nonce_;
    double mean_response_s_ = 0;                      // of lease requests
    InFlightRequests in_flight_;                      // by nonce
    std::multimap<Micros, CustomerQuota*> renewals_;  // by when they are due
};

}  // namespace silverreach
