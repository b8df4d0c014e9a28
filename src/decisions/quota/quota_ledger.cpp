#include "decisions/quota/quota_ledger.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "decisions/decaying_counter.h"
#include "decisions/quota/owner_placement.h"

namespace silverreach {
namespace {

// Share of the burst that a new ledger starts with, and the limit up to which a successor's ledger
// refills. If a ledger started with the complete burst, each restart would grant the burst again.
constexpr double initial_burst_share = 0.5;
constexpr double max_leased_share = 0.9;  // sum of all standing leases of a customer
// Approximate upper limit of a standing lease's rate, as a multiple of its holder's demand.
constexpr double max_standing_demand_ratio = 2;
constexpr double max_surplus_share = 0.5;  // of the pool beyond the required units, per grant
constexpr double surplus_to_demand_share_ratio = 2;
constexpr Micros holder_idle_timeout{5'000'000};
constexpr double max_wait_s = 60;
constexpr double min_rate = 1e-9;  // units per second; avoids a division by 0

}  // namespace

// The values that stay fixed while the ledger decides on one request.
struct QuotaLedger::GrantInput {
    const LeaseRequest& request;
    const Plan& plan;
    int rank;          // of the requesting instance
    int holder_count;  // including the requesting instance
    // Only the owner grants ceiling units and standing leases; a successor replaces an unresponsive
    // owner for the rate quota.
    bool is_owner;
    bool is_stale;        // an outdated or repeated request
    double common_share;  // common_ceiling_share() of the subset
    // Time from which the ledger knows all active leases: the unknown ones, which an earlier
    // incarnation of this instance granted, have expired by then. It is the start of this instance
    // if every instance of the subset has reported its leases.
    Micros all_leases_known_at;

    // Rate and burst of the plan's main limit: the rate quota, or the ceiling if there is none.
    double main_rate() const { return plan.rate > 0 ? plan.rate : plan.ceiling_rate; }
    double main_burst() const { return plan.rate > 0 ? plan.burst : plan.ceiling_burst; }
};

double LeaseHolder::max_active_share(Micros now) const {
    return now < lease_expires_at ? std::max(granted_share, requested_share) : 0;
}

bool LeaseHolder::is_idle(Micros now) const {
    return now - last_request_at > holder_idle_timeout && now >= lease_expires_at;
}

QuotaLedger::QuotaLedger(const DecisionContext& context, const LeaseTerms& terms, const Plan& plan)
    : context_(context),
      terms_(terms),
      units_(initial_burst_share * plan.burst),
      refilled_at_(context.started_at) {}

LeaseGrant QuotaLedger::grant(const LeaseRequest& request, int rank) {
    const GrantInput input = make_grant_input(request, rank);
    plan_ = request.plan;
    refill(input);
    LeaseHolder& holder = holders_[rank];
    record_request(input, holder);
    remove_idle_holders();
    const double fleet_demand_rate = total_demand_rate(input);
    leased_share_ = share_leased_to_others(rank);
    holder.granted_share = standing_share_for(input, fleet_demand_rate);
    leased_share_ += holder.max_active_share(context_.now);
    add_returned_units(input);

    LeaseGrant grant{request.nonce};
    grant.demand_rate = fleet_demand_rate;
    grant.standing_share = holder.granted_share;
    grant.holder_count = input.is_owner ? input.holder_count : 0;
    grant_units(input, grant);
    return grant;
}

QuotaLedger::GrantInput QuotaLedger::make_grant_input(const LeaseRequest& request, int rank) const {
    const Settings& settings = context_.settings;
    const auto known_holder = holders_.find(rank);
    const bool is_known = known_holder != holders_.end();
    const int holder_count = static_cast<int>(holders_.size()) + (is_known ? 0 : 1);
    const std::uint32_t last_nonce = is_known ? known_holder->second.last_nonce : 0;
    const CustomerSubset subset{request.customer_hash, request.subset_size, request.subset_start};
    Micros all_leases_known_at = context_.started_at;
    if (holder_count < request.subset_size)
        all_leases_known_at +=
            LeaseTerms::lease_lifetime(terms_.renewal_period(request.subset_size));
    return {
        .request = request,
        .plan = settings.plans[request.plan],
        .rank = rank,
        .holder_count = holder_count,
        .is_owner = quota_owner(subset, 0, settings.instance_count) == settings.rank,
        .is_stale = last_nonce != 0 && static_cast<std::int32_t>(request.nonce - last_nonce) <= 0,
        .common_share = common_ceiling_share(request.subset_size),
        .all_leases_known_at = all_leases_known_at};
}

// Refills the pool at the part of the rates that the standing leases do not use. Limits the units
// of the rate quota to the part of the burst that the standing leases do not use.
void QuotaLedger::refill(const GrantInput& input) {
    const Plan& plan = input.plan;
    const Micros now = context_.now;
    const Micros last_refilled_at = std::exchange(refilled_at_, now);
    const double unleased_share = 1 - leased_share_;
    // Elapsed time scaled by the unleased share: seconds of refilling at the plan's full rate.
    const double unleased_full_rate_s = seconds(now - last_refilled_at) * unleased_share;
    const double leased_units =
        leased_share_ * terms_.standing_burst(plan.rate, plan.burst, input.request.subset_size) *
        (standing_store_share + standing_overdraft_share);
    const double max_units =
        input.is_owner ? plan.burst - leased_units : initial_burst_share * plan.burst;
    units_ = std::min(max_units, units_ + unleased_full_rate_s * plan.rate);
    if (input.is_owner && now > input.all_leases_known_at)
        ceiling_units_ += seconds(now - std::max(last_refilled_at, input.all_leases_known_at)) *
                          unleased_share * input.common_share * plan.ceiling_rate;
}

// Updates the holder's entry except for the standing lease, which is granted later. Since the
// holder's last request, the pool has refilled as if the larger of the granted and the requested
// share were active. If the request shows that the holder received the last grant, the units that
// were withheld for the difference are added back.
void QuotaLedger::record_request(const GrantInput& input, LeaseHolder& holder) {
    const LeaseRequest& request = input.request;
    const Plan& plan = input.plan;
    const Micros now = context_.now;
    const bool grant_arrived =
        std::abs(request.standing_share - holder.granted_share) < standing_share_step / 2;
    if (!input.is_stale && grant_arrived) {
        const double excess_full_rate_s = (holder.max_active_share(now) - holder.granted_share) *
                                          seconds(now - holder.last_request_at);
        units_ += excess_full_rate_s * plan.rate;
        if (input.is_owner)
            ceiling_units_ += excess_full_rate_s * plan.ceiling_rate * input.common_share;
    }
    holder.requested_share = input.is_stale
                                 ? std::max(request.standing_share, holder.max_active_share(now))
                                 : request.standing_share;
    holder.demand_rate = request.demand_rate;
    holder.granted_share = 0;
    holder.last_request_at = now;
    holder.lease_expires_at =
        now + LeaseTerms::lease_lifetime(terms_.renewal_period(input.holder_count));
    holder.last_nonce = request.nonce;
}

bool QuotaLedger::is_replenished() const {
    const Micros now = context_.now;
    const Plan& plan = context_.settings.plans[plan_];
    const double elapsed_s = seconds(now - refilled_at_);
    const bool may_be_leased = std::ranges::any_of(
        holders_, [now](const auto& entry) { return entry.second.max_active_share(now) > 0; });
    return !may_be_leased && units_ + elapsed_s * plan.rate >= plan.burst &&
           ceiling_units_ + elapsed_s * plan.ceiling_rate >= plan.ceiling_burst;
}

void QuotaLedger::remove_idle_holders() {
    std::erase_if(holders_,
                  [this](const auto& entry) { return entry.second.is_idle(context_.now); });
}

double QuotaLedger::total_demand_rate(const GrantInput& input) const {
    double sum = input.request.demand_rate;
    for (const auto& [rank, holder] : holders_)
        if (rank != input.rank) sum += holder.demand_rate;
    return sum;
}

double QuotaLedger::share_leased_to_others(int rank) const {
    double sum = 0;
    for (const auto& [holder_rank, holder] : holders_)
        if (holder_rank != rank) sum += holder.max_active_share(context_.now);
    return sum;
}

// Returns the standing share for the requesting instance, which follows its share of the demand. It
// is 0 for the owner itself and for demand that is not steady. It is also 0 if the part of the
// burst that is set aside for it does not cover a request of average cost, because the lease would
// remain unused.
double QuotaLedger::standing_share_for(const GrantInput& input, double fleet_demand_rate) const {
    const LeaseRequest& request = input.request;
    if (!input.is_owner || input.rank == context_.settings.rank ||
        !terms_.is_steady(request.demand_rate, input.holder_count))
        return 0;
    const double rate = input.main_rate();
    const double total_demand =
        std::max({fleet_demand_rate, rate / max_standing_demand_ratio, min_rate});
    const double fair_share = std::min(max_leased_share * request.demand_rate / total_demand,
                                       max_leased_share - leased_share_);
    const double standing_burst =
        terms_.standing_burst(rate, input.main_burst(), request.subset_size);
    if (fair_share * standing_burst < context_.traffic.mean_units) return 0;
    // After a restart the owner of a ceiling only renews active leases, because it does not know
    // the other leases yet.
    const bool renew_only =
        input.plan.ceiling_rate > 0 && context_.now <= input.all_leases_known_at;
    const double share = renew_only ? std::min(fair_share, request.standing_share) : fair_share;
    return round_down_to_step(share, standing_share_step);
}

// Adds the units that the request returns, only once for a repeated request, and cuts the ceiling's
// pool to the part of the burst that the standing leases do not use.
void QuotaLedger::add_returned_units(const GrantInput& input) {
    const Plan& plan = input.plan;
    const LeaseRequest& request = input.request;
    if (!input.is_stale) {
        units_ += request.returned_units;
        if (plan.rate <= 0) ceiling_units_ += request.returned_units;
    }
    const double leased_ceiling_units =
        leased_share_ *
        terms_.standing_burst(plan.ceiling_rate, plan.ceiling_burst, request.subset_size);
    ceiling_units_ =
        std::min(ceiling_units_, input.common_share * (plan.ceiling_burst - leased_ceiling_units));
}

// Returns the time in seconds until the pool covers the required units and the ceiling units; 0: it
// covers them now.
double QuotaLedger::time_to_cover_s(const GrantInput& input) const {
    const LeaseRequest& request = input.request;
    const Plan& plan = input.plan;
    double wait_time_s = 0;
    if (request.required_units > units_)
        wait_time_s = (request.required_units - units_) / std::max(plan.rate, min_rate);
    if (request.ceiling_units > ceiling_units_)
        wait_time_s = std::max(wait_time_s, (request.ceiling_units - ceiling_units_) /
                                                std::max(plan.ceiling_rate, min_rate));
    return wait_time_s;
}

void QuotaLedger::grant_units(const GrantInput& input, LeaseGrant& grant) {
    const LeaseRequest& request = input.request;
    const double wait_time_s = time_to_cover_s(input);
    if (wait_time_s > 0)
        grant.wait_ms = static_cast<std::uint32_t>(std::min(wait_time_s, max_wait_s) * 1e3) + 1;
    if (wait_time_s > 0 && request.required_units > 0) return;
    const double surplus_share =
        std::min(max_surplus_share, surplus_to_demand_share_ratio * request.demand_rate /
                                        std::max(grant.demand_rate, min_rate));
    const double surplus = (units_ - request.required_units) * surplus_share;
    grant.units =
        request.required_units + round_down_to_step(std::clamp(surplus, 0.0, request.extra_units));
    grant.ceiling_units = wait_time_s > 0 ? round_down_to_step(ceiling_units_ * surplus_share)
                                          : request.ceiling_units;
    units_ -= grant.units;
    ceiling_units_ -= grant.ceiling_units;
}

}  // namespace silverreach
