// The holder's side of leases. Requests leases from the owner of a customer's quota, renews them
// before they are used up, and falls back to other rules if the owner does not respond.
//
// At most one lease request is in flight for each customer. PendingLease has these states: no lease
// request; a lease request in flight for waiting client requests; a lease request in flight for a
// renewal. A lease request ends with a grant or with its timeout. After a timeout the next lease
// request goes to the owner or to one of its successors. After the last timeout the even share of
// the quota decides on the waiting requests.
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

// Single-threaded like the engine. Keeps a pointer to a customer while a lease request is in flight
// or a renewal is scheduled for it.
class LeaseClient {
  public:
    // Each outlives the LeaseClient.
    struct Dependencies {
        DecisionContext& context;
        QuotaListener& listener;
        const LeaseTerms& terms;
        LeaseLedger& ledger;  // grants directly if this instance is the owner
        PeerMailbox& mailbox;
    };
    // `first_nonce` is the nonce of the first lease request to a peer; odd.
    LeaseClient(const Dependencies& dependencies, std::uint32_t first_nonce);

    // Queues a client's request until a lease covers it, and requests a lease unless one is already
    // requested. The listener receives the result.
    void wait_for_lease(CustomerQuota& customer, RequestId id);
    // Handles a grant from the instance `rank`; ignored if no matching request to it is in flight.
    void on_granted(int rank, LeaseGrant grant);
    // Ignored if the lease request has already ended.
    void on_request_timeout(std::uint32_t nonce);
    // Renews the leases that are due, and returns those whose demand has ended.
    void on_heartbeat();

  private:
    struct InFlightRequest {
        CustomerQuota* customer;
        int rank;  // of the instance that it was sent to
        Micros sent_at;
    };
    using InFlightRequests = std::unordered_map<std::uint32_t, InFlightRequest>;

    void request_lease(CustomerQuota& customer);
    void send_request(CustomerQuota& customer, const LeaseRequest& request, int rank,
                      bool has_waiting_requests);
    void fall_back_to_even_share(CustomerQuota& customer);
    void handle_grant(CustomerQuota& customer, const LeaseGrant& grant);
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
    double mean_response_s_ = 0;                      // of lease requests, in seconds
    InFlightRequests in_flight_;                      // by nonce
    std::multimap<Micros, CustomerQuota*> renewals_;  // by due time
};

}  // namespace silverreach
