// The owner's account of one customer's quota: the units that no instance holds, and the leases
// that were granted.
//
// A grant is deducted before it is sent: one lost on the way is lost, and no unit counts twice. A
// standing lease refills the stores at its holder by the clock; the pool here refills by the rest
// of the rate, until the lease expired. It expires at the holder first.
#pragma once

#include <cstdint>
#include <map>

#include "decisions/decision_context.h"
#include "decisions/quota/lease_codec.h"
#include "decisions/quota/lease_terms.h"

namespace silverreach {

// An instance that requested leases of the customer, as its last request reported it.
struct LeaseHolder {
    double demand_rate = 0;      // units a second
    double granted_share = 0;    // standing lease granted by the last reply
    double requested_share = 0;  // standing lease that ran there when it requested
    Micros last_request_at{0};
    Micros lease_expires_at{0};
    std::uint32_t last_nonce = 0;  // 0: none

    // The share that may run there: the last grant may have been lost.
    double running_share(Micros now) const;
    bool is_idle(Micros now) const;
};

// Single-threaded. Rates are in units a second.
class QuotaLedger {
  public:
    // `context` and `terms` outlive this. Starts with half of the burst and nothing of the ceiling:
    // what an earlier incarnation granted is not known.
    QuotaLedger(const DecisionContext& context, const LeaseTerms& terms, const Plan& plan);

    // Decides on a request of the instance `rank`. Grants what is required or nothing; on top, by
    // the holder's share of the demand, at most half of the rest; and a standing lease.
    LeaseGrant grant(const LeaseRequest& request, int rank);
    // When grant() was called last; it alone refills.
    Micros last_request_at() const { return refilled_at_; }

  private:
    struct GrantInput;

    GrantInput input_for(const LeaseRequest& request, int rank) const;
    void refill(const GrantInput& input);
    void record_request(const GrantInput& input, LeaseHolder& holder);
    void remove_idle_holders();
    double demand_rate(const GrantInput& input) const;
    double share_leased_to_others(int rank) const;
    double standing_share_for(const GrantInput& input, double fleet_demand_rate) const;
    void add_returned_units(const GrantInput& input);
    double wait_s(const GrantInput& input) const;
    void grant_units(const GrantInput& input, LeaseGrant& grant);

    const DecisionContext& context_;
    const LeaseTerms& terms_;
    double units_;              // of the rate quota, that no instance holds
    double ceiling_units_ = 0;  // of the ceiling's common share, that no instance holds
    double leased_share_ = 0;   // sum of the standing leases that may run
    Micros refilled_at_;
    std::map<int, LeaseHolder> holders_;  // by rank
};

}  // namespace silverreach
