// Quota accounting of one customer at this instance: the stores of units that requests use up, the
// standing lease that refills them by the clock, and this instance's view of the demand.
//
// A plan may limit by a rate quota, by a ceiling, or by both; each has a store here. The rate store
// may be overdrawn by what a lease surely brings; the ceiling store never.
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

// What a request took from its customer's stores and has not used yet, in units.
struct Reservation {
    double units = 0;          // of the rate quota
    double ceiling_units = 0;  // of the ceiling
};

// The requests that wait for a lease, and the lease request that is in flight for them. Managed by
// the LeaseClient.
struct PendingLease {
    std::deque<RequestId> waiting;  // requests of clients, oldest first
    std::uint32_t nonce = 0;        // of the lease request in flight; 0: none
    int attempts = 0;               // lease requests sent for the first waiting request
    bool renewal_scheduled = false;

    bool in_flight() const { return nonce != 0; }
};

// Owned by the QuotaManager; single-threaded. Rates are in units a second.
class CustomerQuota {
  public:
    // `context` and `terms` outlive this. `plan` is an index into Settings::plans; below 0: no
    // known plan, hence no quota. The stores start empty but for the ceiling's even share, which
    // counts from the start of this instance: what an earlier incarnation used is not known.
    CustomerQuota(const DecisionContext& context, const LeaseTerms& terms,
                  std::uint32_t customer_hash, int plan);

    // Notes a request of `units`: the demand, the subset it names, and a change of the plan.
    void on_request(const RequestArrived& request, double units);
    // Units that the rate store, or the ceiling store, lacks for a request; 0: covered.
    double missing_units(double units) const;
    double missing_ceiling_units(double units) const;
    // Takes `units` from the stores; from the rate store only where `within_quota`.
    Reservation reserve(double units, bool within_quota);
    // An attempt is sent: the first one takes its units from the ceiling store.
    void on_attempt_sent(Reservation& reservation, double units, bool first_attempt);
    // Gives back what a request that was never sent had reserved.
    void release(const Reservation& reservation);
    // A response reported the units that its request really cost. Changes nothing where
    // `actual_units` is 0 (not reported) or the settings leave it out.
    void correct_units(double charged_units, double actual_units);
    // Retry-After where the owner's last replies show that no lease will come for `units`: it
    // granted nothing, or the demand on all instances exceeds the quota. Else nothing.
    std::optional<Micros> known_shortage(double units) const;
    // The owner granted nothing to a waiting request of `units` until `retry_after` from now.
    void note_shortage(double units, Micros retry_after);
    // Where no owner responds: admits by this instance's even share of the quota, one request at a
    // time. Over-commit is bounded by one request for each instance of the subset. Returns nothing
    // where the stores cover `units` now, else the Retry-After; `lease_timeout` where that depends
    // on the owner.
    std::optional<Micros> draw_even_share(double units, Micros lease_timeout);

    // Units a second requested here, rounded up to the step of the wire; 0 once several expected
    // requests are missing.
    double demand_rate() const;
    // This instance's share of the recent demand on all instances, 0 to 1; an even one where the
    // owner did not report that demand lately.
    double demand_share() const;
    bool is_steady() const { return terms_.is_steady(demand_rate(), holder_count_); }
    // True where another instance is the owner, it replied within a lease lifetime, and it gets
    // lease requests steadily.
    bool has_recent_owner_report() const;

    // Adds what the standing lease and the even share of the ceiling brought since the last call.
    // What exceeds the rate store is overflow, and goes back to the owner.
    void refill();
    // The next lease request: for `waiting_units` that the first waiting request costs, or, with
    // none waiting, for the demand until the next renewal. Deducts the units that it returns.
    LeaseRequest make_lease_request(std::uint32_t nonce, std::optional<double> waiting_units);
    // Adds a grant to the stores and starts its standing lease.
    void apply_grant(const LeaseGrant& grant);
    bool has_standing_lease() const { return standing_share_ > 0; }
    // True where the demand ended while a standing lease runs.
    bool should_return_lease() const;
    void drop_standing_lease() { standing_share_ = 0; }

    // Null where the customer has no known plan.
    const Plan* plan() const;
    const CustomerSubset& subset() const { return subset_; }
    // Instances that hold leases of this customer, as the owner reported; 1 at least.
    int holder_count() const { return holder_count_; }
    Micros last_request_at() const { return demand_.last_request_at(); }

    PendingLease pending_lease;
    int attempts_in_flight = 0;
    int open_requests = 0;  // requests without their final response
    WarmingUpLimiter limiter;

  private:
    void change_plan(int plan);
    double running_share() const;
    double standing_store() const;
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
    Micros even_share_free_at_{0};  // when the even share next covers a request

    double standing_share_ = 0;  // standing lease: share of the quota that refills the stores
    Micros standing_until_{0};

    DemandEstimator demand_;
    Micros lease_requested_at_{0};
    double requested_demand_rate_ = 0;  // as the last lease request reported it
    double fleet_demand_rate_ = 0;      // on all instances, as the owner reported
    Micros owner_reported_at_{0};       // 0: never
    Micros shortage_until_{0};
    double shortage_units_ = 0;  // requests of so many units or more are short
};

}  // namespace silverreach
