// The quota component of the decision engine. Tracks the units that a customer may still use at
// this instance, the leases that instances request from and grant to each other, and the messages
// between them.
//
// The engine passes events to it. missing_units() and missing_ceiling_units() return the
// units that the stores lack to cover a request. If the request has to wait for a lease, the
// QuotaListener receives the result.
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

// Owned by the engine; single-threaded like it. A reference to a CustomerQuota stays valid while
// the customer has open requests.
class QuotaManager {
  public:
    // `context` and `listener` outlive this. `first_nonce` is the nonce of the first lease request;
    // odd.
    QuotaManager(DecisionContext& context, QuotaListener& listener, std::uint32_t first_nonce);
    QuotaManager(const QuotaManager&) = delete;  // its members refer to each other
    QuotaManager& operator=(const QuotaManager&) = delete;

    // Records a new request and its demand for its customer, or for the customers beyond
    // Settings::max_customers together, and increments open_requests. The caller decrements it
    // when the request has its final response.
    CustomerQuota& on_request(const RequestArrived& request);
    // Null if the customer's plan is unknown and therefore no quota applies.
    const Plan* plan_of(const CustomerQuota& customer) const;
    // Units that the rate quota, or the ceiling, lacks here for a request that costs `units`;
    // 0: covered.
    double missing_units(const CustomerQuota& customer, double units) const;
    double missing_ceiling_units(const CustomerQuota& customer, double units) const;
    // This instance's share of the customer's recent demand, 0 to 1.
    double demand_share(const CustomerQuota& customer) const;
    // Returns the Retry-After if it is known that no lease will cover `units`, otherwise nullopt.
    std::optional<Micros> known_shortage(const CustomerQuota& customer, double units) const;
    // Queues the request until a lease covers it. The listener receives the result; if this
    // instance is the owner, before this call returns.
    void wait_for_lease(CustomerQuota& customer, RequestId id);

    // Reserves `units` in the stores for an admitted request; in the rate store only if
    // `within_quota`.
    Reservation reserve(CustomerQuota& customer, double units, bool within_quota);
    // Call for each attempt that is sent. The first one uses up the reservation.
    void on_attempt_sent(CustomerQuota& customer, Reservation& reservation, double units,
                         bool is_first_attempt);
    // Gives back the reserved units of a request that was never sent.
    void release(CustomerQuota& customer, const Reservation& reservation);
    // Replaces the charged units of a request by the actual ones that its response reported. Call
    // this only for requests within the quota. Does nothing if `actual_units` is 0 (not reported)
    // or Settings::units_corrected_by_response is false.
    void correct_units(CustomerQuota& customer, double charged_units, double actual_units);

    void on_peer_message(int from, const std::string& bytes);
    void on_lease_request_timeout(std::uint32_t nonce);
    void on_outbox_timer(int rank);
    // Renews the leases that are due, and returns those whose demand has ended.
    void on_heartbeat();
    // Removes the state of peers and customers that have been idle for a long time.
    void remove_idle();
    // Sends this event's messages to peers. Call at the end of each event.
    void flush_outboxes();

  private:
    CustomerQuota& find_or_add(const RequestArrived& request);
    bool has_room();
    void remove_replenished();

    DecisionContext& context_;
    LeaseTerms terms_;
    LeaseLedger ledger_;
    PeerMailbox mailbox_;
    LeaseClient client_;
    std::unordered_map<std::string, CustomerQuota> customers_;  // by name
    Micros next_removal_at_{0};
};

}  // namespace silverreach
