// Quota accounting of one customer at this instance: the units that its requests may use, the
// standing lease that adds units over time, and this instance's view of the demand.
//
// A plan limits by a rate quota, by a ceiling, or by both. For each of them this instance has a
// store, which is the balance of units that requests may use here. A request may overdraw the rate
// store by units that leases are certain to bring, but never the ceiling store.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>

#include "decisions/decision_context.h"
#include "decisions/quota/demand_estimator.h"
#include "decisions/quota/lease_codec.h"
#include "decisions/quota/lease_terms.h"
#include "decisions/quota/owner_placement.h"
#include "decisions/quota/warming_up_limiter.h"

namespace silverreach {

// Units that a request has reserved in its customer's stores and has not used yet.
struct Reservation {
    double units = 0;          // of the rate quota
    double ceiling_units = 0;  // of the ceiling
};

// The client requests that wait for a lease, and the lease request that is in flight for them.
// Managed by the LeaseClient.
struct PendingLease {
    std::deque<RequestId> waiting_requests;  // oldest first
    std::uint32_t nonce = 0;                 // of the lease request in flight; 0: none in flight
    int sent_requests = 0;                   // lease requests sent since the last grant or fallback
    bool is_renewal_scheduled = false;

    bool is_in_flight() const { return nonce != 0; }
};

// Owned by the QuotaManager; single-threaded. Rates are in units per second.
class CustomerQuota {
  public:
    // `context` and `terms` outlive this. `plan` is an index into Settings::plans; a negative value
    // means that the plan is unknown and no quota applies. The stores start empty, because the
    // usage of an earlier incarnation is unknown. Only the ceiling's even share accrues from the
    // start of this instance.
    CustomerQuota(const DecisionContext& context, const LeaseTerms& terms,
                  std::uint32_t customer_hash, int plan);

    // Records the demand of a request that costs `units`, and adopts its subset and its plan.
    void on_request(const RequestArrived& request, double units);
    // Units that the rate store, or the ceiling store, lacks to cover a request that costs `units`;
    // 0: covered.
    double missing_units(double units) const;
    double missing_ceiling_units(double units) const;
    // Reserves `units` in the stores; in the rate store only if `within_quota`.
    Reservation reserve(double units, bool within_quota);
    // Call for each attempt that is sent. The first one deducts `units` from the ceiling store and
    // ends the reservation there.
    void on_attempt_sent(Reservation& reservation, double units, bool is_first_attempt);
    // Gives back the reserved units of a request that was never sent.
    void release(const Reservation& reservation);
    // Replaces the charged units of a request by the actual ones that its response reported. Does
    // nothing if `actual_units` is 0 (not reported) or Settings::units_corrected_by_response is
    // false.
    void correct_units(double charged_units, double actual_units);
    // Returns the Retry-After if the owner's recent replies show that it will not grant `units`:
    // it granted nothing, or the demand on all instances exceeds the quota. Otherwise nullopt.
    std::optional<Micros> known_shortage(double units) const;
    // Records that the owner grants nothing to requests of `units` or more for `retry_after` from
    // now.
    void record_shortage(double units, Micros retry_after);
    // Admits one request at a time by this instance's even share of the quota, for use while no
    // owner responds. The quota is exceeded by at most one request for each instance of the subset.
    // Returns nullopt if the stores now cover `units`, otherwise the Retry-After, which is
    // `lease_timeout` if it depends on the owner.
    std::optional<Micros> admit_by_even_share(double units, Micros lease_timeout);

    // Demand at this instance, as DemandEstimator::rate().
    double demand_rate() const;
    // This instance's share of the recent demand on all instances, 0 to 1. It is at least the even
    // share, and equal to it if the owner has not reported that demand recently.
    double demand_share() const;
    bool is_steady() const { return terms_.is_steady(demand_rate(), holder_count_); }
    // True if another instance is the owner, that owner has replied within a lease lifetime, and
    // the demand reported to it is steady.
    bool has_recent_owner_report() const;

    // Adds the units that the standing lease and the even share of the ceiling have brought since
    // the last call. Leased units that exceed what may be stored here are returned to the owner
    // with the next lease request: those of the rate quota, or of the ceiling in a plan without a
    // rate quota.
    void refill();
    // Builds the next lease request: for `waiting_units`, the cost of the first waiting request,
    // or, if no request waits, for the demand until the next renewal. Deducts the units that the
    // lease request returns.
    LeaseRequest make_lease_request(std::uint32_t nonce, std::optional<double> waiting_units);
    // Adds the granted units to the stores and starts the granted standing lease.
    void apply_grant(const LeaseGrant& grant);
    bool has_standing_lease() const { return standing_share_ > 0; }
    // True if the state can be dropped and created anew without more units for the customer: no
    // work is in progress, the rate store is not overdrawn and the ceiling's store is full.
    bool is_replenished() const;
    // True if the demand has ended while this instance has a standing lease, and a minimum time has
    // passed since the last lease request.
    bool should_return_lease() const;
    void drop_standing_lease() { standing_share_ = 0; }

    // Null if the customer's plan is unknown.
    const Plan* plan() const;
    const CustomerSubset& subset() const { return subset_; }
    // Number of instances that hold leases of this customer, as the owner reported; at least 1.
    int holder_count() const { return holder_count_; }
    Micros last_request_at() const { return demand_.last_request_at(); }

    PendingLease pending_lease;
    int attempts_in_flight = 0;
    int open_requests = 0;  // requests without their final response
    WarmingUpLimiter limiter;

  private:
    void change_plan(int plan);
    double active_standing_share() const;
    double standing_store_capacity() const;
    double max_ceiling_units() const;

    const DecisionContext& context_;
    const LeaseTerms& terms_;
    CustomerSubset subset_;
    int plan_;
    int holder_count_ = 1;

    double units_ = 0;           // of the rate quota; negative: overdrawn
    double overflow_units_ = 0;  // returned with the next lease request
    double ceiling_units_ = 0;
    double reserved_ceiling_units_ = 0;  // included in ceiling_units_
    Micros refilled_at_;
    Micros even_share_available_at_{0};  // when the even share covers the next request

    double standing_share_ = 0;  // of the quota; refills the stores here
    Micros standing_lease_expires_at_{0};

    DemandEstimator demand_;
    Micros lease_requested_at_{0};
    double requested_demand_rate_ = 0;  // in the last lease request
    double fleet_demand_rate_ = 0;      // on all instances, as the owner reported
    Micros owner_reported_at_{0};       // 0: never
    Micros shortage_until_{0};
    double min_denied_units_ = 0;  // lowest request cost that is denied
};

}  // namespace silverreach
