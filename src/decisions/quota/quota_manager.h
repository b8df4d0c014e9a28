// The quota side of the decision engine: what a customer may still use at this instance, the
// leases that instances request of and grant to each other, and the messages between them.
//
// The engine calls it with events; it answers at once where the stores cover a request, and later
// through the QuotaListener where the request has to wait for a lease.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>

#include "decisions/decision_context.h"
#include "decisions/quota/customer_quota.h"
#include "decisions/quota/lease_client.h"
#include "decisions/quota/lease_ledger.h"
#include "decisions/quota/lease_terms.h"
#include "decisions/quota/peer_mailbox.h"
#include "decisions/quota/quota_listener.h"

namespace silverreach {

// Owned by the engine; single-threaded like it. References to a CustomerQuota stay good while the
// customer has open requests.
class QuotaManager {
  public:
    // `context` and `listener` outlive this. `first_nonce`: nonce of the first lease request, odd.
    QuotaManager(DecisionContext& context, QuotaListener& listener, std::uint32_t first_nonce);
    QuotaManager(const QuotaManager&) = delete;  // its parts refer to each other
    QuotaManager& operator=(const QuotaManager&) = delete;

    // Notes a new request and its demand; ++open_requests. The caller counts it down again once
    // the request has its final response.
    CustomerQuota& on_request(const RequestArrived& request);
    // Null where the customer has no known plan, hence no quota.
    const Plan* plan_of(const CustomerQuota& customer) const;
    // Units that the rate quota, or the ceiling, lacks here for a request of `units`; 0: covered.
    double missing_units(const CustomerQuota& customer, double units) const;
    double missing_ceiling_units(const CustomerQuota& customer, double units) const;
    // This instance's share of the customer's recent demand, 0 to 1.
    double demand_share(const CustomerQuota& customer) const;
    // Retry-After where it is known that no lease will come for `units`; else nothing.
    std::optional<Micros> known_shortage(const CustomerQuota& customer, double units) const;
    // Queues the request for a lease. The listener gets the result, at once where the owner is
    // this instance.
    void wait_for_lease(CustomerQuota& customer, RequestId id);

    // Takes `units` from the stores for an admitted request; from the rate quota only where
    // `within_quota`.
    Reservation reserve(CustomerQuota& customer, double units, bool within_quota);
    // Call at each attempt that is sent: the first one uses the reservation up.
    void on_attempt_sent(CustomerQuota& customer, Reservation& reservation, double units,
                         bool first_attempt);
    // Gives back what a request that was never sent had reserved.
    void release(CustomerQuota& customer, const Reservation& reservation);
    // A response reported the units that its request really cost. Call it for requests within the
    // quota. Changes nothing where `actual_units` is 0 (not reported) or settings leave it out.
    void correct_units(CustomerQuota& customer, double charged_units, double actual_units);

    void on_peer_message(int from, const std::string& bytes);
    void on_lease_request_timeout(std::uint32_t nonce);
    void on_outbox_timer(int rank);
    // Renews the leases that are due.
    void on_heartbeat();
    // Drops the state of peers and customers that were idle for long.
    void remove_idle();
    // Sends what this event posted to peers. Call at the end of each event.
    void flush_outboxes();

  private:
    DecisionContext& context_;
    LeaseTerms terms_;
    LeaseLedger ledger_;
    PeerMailbox mailbox_;
    LeaseClient client_;
    std::unordered_map<std::string, CustomerQuota> customers_;  // by name
};

}  // namespace silverreach
