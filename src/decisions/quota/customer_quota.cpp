#include "decisions/quota/customer_quota.h"

#include <algorithm>
#include <utility>

namespace silverreach {
namespace {

constexpr Micros fleet_demand_validity{5'000'000};
constexpr double min_fleet_demand_rate = 1e-9;  // units per second; avoids a division by 0
// Demand on all instances, as a multiple of the quota, above which requests do not wait for a
// lease.
constexpr double excess_demand_factor = 1.1;
constexpr double min_lease_coverage_s = 0.5;  // shortest demand that a lease request covers
// Minimum time between a lease request and the return of the lease.
constexpr Micros min_lease_hold_time{150'000};

}  // namespace

CustomerQuota::CustomerQuota(const DecisionContext& context, const LeaseTerms& terms,
                             std::uint32_t customer_hash, int plan)
    : context_(context),
      terms_(terms),
      subset_{customer_hash},
      plan_(plan),
      refilled_at_(context.started_at),
      demand_(context.now) {}

const Plan* CustomerQuota::plan() const {
    return plan_ < 0 ? nullptr : &context_.settings.plans[plan_];
}

void CustomerQuota::on_request(const RequestArrived& request, double units) {
    const int instance_count = context_.settings.instance_count;
    if (request.plan >= 0 && request.plan != plan_) change_plan(request.plan);
    subset_.size = std::max(subset_.size, std::clamp(request.subset_size, 1, instance_count));
    subset_.start = ((request.subset_start % instance_count) + instance_count) % instance_count;
    refill();
    demand_.add_request(context_.now, units);
}

// The stores keep their units up to the new plan's limits and gain none, so that switching back and
// forth between plans refills no store. The owner learns the new plan from the next lease request.
void CustomerQuota::change_plan(int plan) {
    refill();
    plan_ = plan;
    units_ = std::min(units_, context_.settings.plans[plan].burst);
    standing_lease_expires_at_ = context_.now;
    shortage_until_ = Micros{0};
    ceiling_units_ = std::min(ceiling_units_, max_ceiling_units());
}

// The store may be overdrawn by a share of the units that the standing lease is certain to bring
// or, while the demand on all instances is within the quota, by one request, whichever is more. The
// next leases cover the overdraft, so that the request does not have to wait for them.
double CustomerQuota::missing_units(double units) const {
    const Plan* const plan = this->plan();
    if (plan == nullptr || plan->rate <= 0) return 0;
    const double lease_overdraft = active_standing_share() *
                                   terms_.standing_burst(plan->rate, plan->burst, subset_.size) *
                                   standing_overdraft_share;
    const bool demand_within_quota = has_recent_owner_report() && fleet_demand_rate_ <= plan->rate;
    const double overdraft = std::max(lease_overdraft, demand_within_quota ? units : 0);
    return std::max(0.0, units - units_ - overdraft);
}

double CustomerQuota::missing_ceiling_units(double units) const {
    const Plan* const plan = this->plan();
    if (plan == nullptr || plan->ceiling_rate <= 0) return 0;
    return std::max(0.0, units - (ceiling_units_ - reserved_ceiling_units_));
}

Reservation CustomerQuota::reserve(double units, bool within_quota) {
    Reservation reservation;
    const Plan* const plan = this->plan();
    if (plan == nullptr) return reservation;
    if (plan->rate > 0 && within_quota) {
        reservation.units = units;
        units_ -= units;
    }
    if (plan->ceiling_rate > 0) {
        reservation.ceiling_units = units;
        reserved_ceiling_units_ += units;
    }
    return reservation;
}

void CustomerQuota::on_attempt_sent(Reservation& reservation, double units, bool is_first_attempt) {
    const Plan* const plan = this->plan();
    if (is_first_attempt && plan != nullptr && plan->ceiling_rate > 0) {
        refill();
        ceiling_units_ -= units;
    }
    reserved_ceiling_units_ -= std::exchange(reservation.ceiling_units, 0);
}

void CustomerQuota::release(const Reservation& reservation) {
    units_ += reservation.units;
    reserved_ceiling_units_ -= reservation.ceiling_units;
}

void CustomerQuota::correct_units(double charged_units, double actual_units) {
    if (actual_units > 0 && context_.settings.units_corrected_by_response)
        units_ += charged_units - actual_units;
}

std::optional<Micros> CustomerQuota::known_shortage(double units) const {
    const Plan* const plan = this->plan();
    if (plan == nullptr) return std::nullopt;
    if (context_.now < shortage_until_ && units >= min_denied_units_)
        return shortage_until_ - context_.now;
    const double rate = plan->rate > 0 ? plan->rate : plan->ceiling_rate;
    if (!has_recent_owner_report() || fleet_demand_rate_ <= excess_demand_factor * rate)
        return std::nullopt;
    const double missing = std::max(missing_units(units), missing_ceiling_units(units));
    return micros(missing / rate / demand_share());
}

void CustomerQuota::record_shortage(double units, Micros retry_after) {
    shortage_until_ = context_.now + retry_after;
    min_denied_units_ = units;
}

std::optional<Micros> CustomerQuota::admit_by_even_share(double units, Micros lease_timeout) {
    const Plan& plan = *this->plan();
    if (has_recent_owner_report() && fleet_demand_rate_ > plan.rate) return lease_timeout;
    if (const double missing = missing_ceiling_units(units); missing > 0)
        return micros(missing / even_ceiling_share(plan.ceiling_rate, subset_.size));
    const double missing = missing_units(units);
    if (missing <= 0) return std::nullopt;
    const Micros now = context_.now;
    if (even_share_available_at_ > now) return even_share_available_at_ - now;
    even_share_available_at_ = std::max(even_share_available_at_, now) +
                               micros(units * subset_.size / std::max(plan.rate, 1e-9));
    units_ += missing;
    return std::nullopt;
}

double CustomerQuota::demand_rate() const {
    return demand_.rate(context_.now);
}

double CustomerQuota::demand_share() const {
    const Micros now = context_.now;
    const double even_share = 1.0 / subset_.size;
    if (owner_reported_at_ <= Micros{0} || now - owner_reported_at_ > fleet_demand_validity)
        return even_share;
    const double own_rate = demand_.mean_rate(now);
    const double fleet_rate = std::max({own_rate, fleet_demand_rate_, min_fleet_demand_rate});
    return std::clamp(own_rate / fleet_rate, even_share, 1.0);
}

bool CustomerQuota::has_recent_owner_report() const {
    const Micros lease_lifetime = LeaseTerms::lease_lifetime(terms_.renewal_period(holder_count_));
    return owner_reported_at_ > Micros{0} && context_.now - owner_reported_at_ < lease_lifetime &&
           terms_.is_steady(requested_demand_rate_, holder_count_) &&
           quota_owner(subset_, 0, context_.settings.instance_count) != context_.settings.rank;
}

// The share of the standing lease; 0 after it has expired.
double CustomerQuota::active_standing_share() const {
    return context_.now < standing_lease_expires_at_ ? standing_share_ : 0;
}

// Units of the rate quota that the standing lease may store here.
double CustomerQuota::standing_store_capacity() const {
    const Plan& plan = *this->plan();
    return standing_share_ * standing_store_share *
           terms_.standing_burst(plan.rate, plan.burst, subset_.size);
}

// Limit of the ceiling store: the even share of the ceiling's burst, and the standing lease's part
// of the common share.
double CustomerQuota::max_ceiling_units() const {
    const Plan& plan = *this->plan();
    const double burst = terms_.standing_burst(plan.ceiling_rate, plan.ceiling_burst, subset_.size);
    return even_ceiling_share(plan.ceiling_burst, subset_.size) +
           common_ceiling_share(subset_.size) * active_standing_share() * burst;
}

void CustomerQuota::refill() {
    const Micros now = context_.now;
    const Micros last_refilled_at = std::exchange(refilled_at_, now);
    const Plan* const plan = this->plan();
    if (plan == nullptr) return;
    const Micros lease_time =
        std::max(Micros{0}, std::min(now, standing_lease_expires_at_) - last_refilled_at);
    // Lease time scaled by the standing share: seconds of refilling at the plan's full rate.
    const double full_rate_s = standing_share_ * seconds(lease_time);
    const double lease_units = full_rate_s * plan->rate;
    const double stored_units = std::clamp(standing_store_capacity() - units_, 0.0, lease_units);
    units_ += stored_units;
    overflow_units_ += lease_units - stored_units;

    const double ceiling_lease_units =
        full_rate_s * common_ceiling_share(subset_.size) * plan->ceiling_rate;
    ceiling_units_ +=
        seconds(now - last_refilled_at) * even_ceiling_share(plan->ceiling_rate, subset_.size) +
        ceiling_lease_units;
    const double excess =
        std::max(0.0, ceiling_units_ - max_ceiling_units() - reserved_ceiling_units_);
    ceiling_units_ -= excess;
    if (plan->rate <= 0) overflow_units_ += std::min(excess, ceiling_lease_units);
}

LeaseRequest CustomerQuota::make_lease_request(std::uint32_t nonce,
                                               std::optional<double> waiting_units) {
    const Plan& plan = *this->plan();
    const double first_request_units = waiting_units.value_or(0);
    const double current_demand_rate = demand_rate();
    const double renewal_coverage_s =
        terms_.is_steady(current_demand_rate, holder_count_)
            ? renewal_margin * seconds(terms_.renewal_period(holder_count_))
            : 0;
    const double expected_demand_units =
        current_demand_rate * std::max(min_lease_coverage_s, renewal_coverage_s);
    LeaseRequest request{nonce, subset_.customer_hash, plan_, subset_.size, subset_.start};
    request.required_units = missing_units(first_request_units);
    request.ceiling_units = missing_ceiling_units(first_request_units);
    request.demand_rate = current_demand_rate;
    request.standing_share = active_standing_share();
    if (plan.rate > 0) {
        const double available = waiting_units ? std::max(first_request_units, units_) : units_;
        request.extra_units = std::max(0.0, expected_demand_units - available);
    }
    if (plan.rate > 0 && !waiting_units) {
        const double retained_units =
            current_demand_rate > 0 ? std::max(expected_demand_units, standing_store_capacity())
                                    : 0;
        request.returned_units = round_down_to_step(std::max(0.0, units_ - retained_units));
    }
    if (plan.ceiling_rate > 0 && !waiting_units)
        request.ceiling_units =
            std::max(0.0, std::min(expected_demand_units, max_ceiling_units()) - ceiling_units_);
    units_ -= request.returned_units;
    request.returned_units += std::exchange(overflow_units_, 0);
    lease_requested_at_ = context_.now;
    requested_demand_rate_ = current_demand_rate;
    return request;
}

void CustomerQuota::apply_grant(const LeaseGrant& grant) {
    const Plan& plan = *this->plan();
    refill();
    holder_count_ = std::clamp(grant.holder_count, 1, context_.settings.instance_count);
    if (grant.holder_count > 0) {  // sent by the owner; successors grant no standing lease
        // A reduced share applies from the time of the request, as in the owner's ledger.
        const double reduction_full_rate_s =
            std::max(0.0, active_standing_share() - grant.standing_share) *
            seconds(context_.now - lease_requested_at_);
        units_ -= reduction_full_rate_s * plan.rate;
        ceiling_units_ -=
            reduction_full_rate_s * plan.ceiling_rate * common_ceiling_share(subset_.size);
        holder_count_ = grant.holder_count;
        fleet_demand_rate_ = grant.demand_rate;
        owner_reported_at_ = context_.now;
        standing_share_ = grant.standing_share;
        standing_lease_expires_at_ =
            lease_requested_at_ + LeaseTerms::lease_lifetime(terms_.renewal_period(holder_count_));
    }
    units_ = std::min(units_ + grant.units, std::max(plan.burst, units_));
    // The next refill cuts units that no waiting request uses to max_ceiling_units().
    ceiling_units_ += grant.ceiling_units;
}

bool CustomerQuota::is_replenished() const {
    if (open_requests > 0 || pending_lease.is_in_flight() || pending_lease.is_renewal_scheduled)
        return false;
    const Plan* const plan = this->plan();
    if (plan == nullptr) return true;
    const double accrued_units =
        seconds(context_.now - refilled_at_) * even_ceiling_share(plan->ceiling_rate, subset_.size);
    return units_ >= 0 && reserved_ceiling_units_ <= 0 &&
           ceiling_units_ + accrued_units >= even_ceiling_share(plan->ceiling_burst, subset_.size);
}

bool CustomerQuota::should_return_lease() const {
    return has_standing_lease() && context_.now - lease_requested_at_ >= min_lease_hold_time &&
           demand_rate() <= 0;
}

}  // namespace silverreach
