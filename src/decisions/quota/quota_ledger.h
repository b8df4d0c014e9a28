// The owner's account of one customer's quota: the pool of units that no instance holds, and the
// leases that were granted.
//
// A grant is deducted before it is sent. The units of a grant that is lost in transit are lost, so
// that no unit is granted twice. A standing lease refills the stores at its holder over time; until
// it expires, the pool refills only at the rest of the rate. The lease expires at the holder before
// it expires here.
#pragma once

#include <cstdint>
#include <map>

#include "decisions/decision_context.h"
#include "decisions/quota/lease_codec.h"
#include "decisions/quota/lease_terms.h"

namespace silverreach {

// An instance that has requested leases of the customer, with the state in its last request.
struct LeaseHolder {
    double demand_rate = 0;      // units per second
    double granted_share = 0;    // standing lease granted by the last reply
    double requested_share = 0;  // standing lease that was active there at its last request
    Micros last_request_at{0};
    Micros lease_expires_at{0};
    std::uint32_t last_nonce = 0;  // 0: none

    // The largest standing share that may be active at the holder: the last grant may have been
    // lost.
    double max_active_share(Micros now) const;
    bool is_idle(Micros now) const;
};

// Single-threaded. Rates are in units per second.
class QuotaLedger {
  public:
    // `context` and `terms` outlive this. The ledger starts with half of the burst and none of the
    // ceiling, because the grants of an earlier incarnation of this instance are unknown.
    QuotaLedger(const DecisionContext& context, const LeaseTerms& terms, const Plan& plan);

    // Decides on a request from the instance `rank`. Grants the required units completely or no
    // units at all. Beyond the required units it grants at most half of the remaining pool, by the
    // holder's share of the demand. It also grants a standing lease if the demand is steady.
    LeaseGrant grant(const LeaseRequest& request, int rank);
    // True if a new ledger would hold no more units: the pool is full and no standing lease may be
    // active.
    bool is_replenished() const;
    // Time of the last grant(), which is the only call that refills the pool.
    Micros last_request_at() const { return refilled_at_; }

  private:
    struct GrantInput;

    GrantInput make_grant_input(const LeaseRequest& request, int rank) const;
    void refill(const GrantInput& input);
    void record_request(const GrantInput& input, LeaseHolder& holder);
    void remove_idle_holders();
    double total_demand_rate(const GrantInput& input) const;
    double share_leased_to_others(int rank) const;
    double standing_share_for(const GrantInput& input, double fleet_demand_rate) const;
    void add_returned_units(const GrantInput& input);
    double time_to_cover_s(const GrantInput& input) const;
    void grant_units(const GrantInput& input, LeaseGrant& grant);

    const DecisionContext& context_;
    const LeaseTerms& terms_;
    double units_;              // of the rate quota that no instance holds
    double ceiling_units_ = 0;  // of the ceiling's common share that no instance holds
    int plan_ = 0;              // in the last request; an index into Settings::plans
    double leased_share_ = 0;   // sum of the standing leases that may be active
    Micros refilled_at_;
    std::map<int, LeaseHolder> holders_;  // by rank
};

}  // namespace silverreach
