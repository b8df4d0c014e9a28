#include "decisions/quota/customer_quota.h"

#include <algorithm>
#include <utility>

namespace silverreach {
namespace {

constexpr Micros fleet_demand_validity{5'000'000};
constexpr double min_fleet_demand_rate = 1e-9;  // divisor
// Demand over the quota by which waiting for a lease is in vain.
constexpr double excess_demand_factor = 1.1;
constexpr double min_lease_coverage_s = 0.5;  // of demand, that a lease request covers
// No lease is returned sooner after the request for it.
constexpr Micros min_lease_hold{150'000};

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

// What the stores hold stays, cut to the new plan's limits, and nothing is added: switching back
// and forth refills no store. The owner's ledger follows with the next lease request.
void CustomerQuota::change_plan(int plan) {
    refill();
    plan_ = plan;
    units_ = std::min(units_, context_.settings.plans[plan].burst);
    standing_until_ = context_.now;
    shortage_until_ = Micros{0};
    ceiling_units_ = std::min(ceiling_units_, max_ceiling_units());
}

// The store may be overdrawn by some of what the standing lease surely brings, and by one request
// while the demand on all instances is within the quota: the next leases cover it, and the request
// need not wait for them.
double CustomerQuota::missing_units(double units) const {
    const Plan* const plan = this->plan();
    if (plan == nullptr || plan->rate <= 0) return 0;
    const double lease_overdraft = running_share() *
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

void CustomerQuota::on_attempt_sent(Reservation& reservation, double units, bool first_attempt) {
    const Plan* const plan = this->plan();
    if (first_attempt && plan != nullptr && plan->ceiling_rate > 0) {
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
    if (context_.now < shortage_until_ && units >= shortage_units_)
        return shortage_until_ - context_.now;
    const double rate = plan->rate > 0 ? plan->rate : plan->ceiling_rate;
    if (!has_recent_owner_report() || fleet_demand_rate_ <= excess_demand_factor * rate)
        return std::nullopt;
    const double missing = std::max(missing_units(units), missing_ceiling_units(units));
    return micros(missing / rate / demand_share());
}

void CustomerQuota::note_shortage(double units, Micros retry_after) {
    shortage_until_ = context_.now + retry_after;
    shortage_units_ = units;
}

std::optional<Micros> CustomerQuota::draw_even_share(double units, Micros lease_timeout) {
    const Plan& plan = *this->plan();
    if (has_recent_owner_report() && fleet_demand_rate_ > plan.rate) return lease_timeout;
    if (const double missing = missing_ceiling_units(units); missing > 0)
        return micros(missing / even_ceiling_share(plan.ceiling_rate, subset_.size));
    const double missing = missing_units(units);
    if (missing <= 0) return std::nullopt;
    const Micros now = context_.now;
    if (even_share_free_at_ > now) return even_share_free_at_ - now;
    even_share_free_at_ = std::max(even_share_free_at_, now) +
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

// The standing lease's share; 0 once it expired.
double CustomerQuota::running_share() const {
    return context_.now < standing_until_ ? standing_share_ : 0;
}

// Units of the rate quota that the standing lease keeps here.
double CustomerQuota::standing_store() const {
    const Plan& plan = *this->plan();
    return standing_share_ * standing_store_share *
           terms_.standing_burst(plan.rate, plan.burst, subset_.size);
}

// Most units of the ceiling here: the even share, and the standing lease of the common rest.
double CustomerQuota::max_ceiling_units() const {
    const Plan& plan = *this->plan();
    const double burst = terms_.standing_burst(plan.ceiling_rate, plan.ceiling_burst, subset_.size);
    return even_ceiling_share(plan.ceiling_burst, subset_.size) +
           common_ceiling_share(subset_.size) * running_share() * burst;
}

void CustomerQuota::refill() {
    const Micros now = context_.now;
    const Micros last = std::exchange(refilled_at_, now);
    const Plan* const plan = this->plan();
    if (plan == nullptr) return;
    const Micros lease_time = std::max(Micros{0}, std::min(now, standing_until_) - last);
    const double lease_s = standing_share_ * seconds(lease_time);  // of the whole quota
    const double income = lease_s * plan->rate;
    const double stored = std::clamp(standing_store() - units_, 0.0, income);
    units_ += stored;
    overflow_units_ += income - stored;

    const double ceiling_income = lease_s * common_ceiling_share(subset_.size) * plan->ceiling_rate;
    ceiling_units_ +=
        seconds(now - last) * even_ceiling_share(plan->ceiling_rate, subset_.size) + ceiling_income;
    const double excess =
        std::max(0.0, ceiling_units_ - max_ceiling_units() - reserved_ceiling_units_);
    ceiling_units_ -= excess;
    if (plan->rate <= 0) overflow_units_ += std::min(excess, ceiling_income);
}

LeaseRequest CustomerQuota::make_lease_request(std::uint32_t nonce,
                                               std::optional<double> waiting_units) {
    const Plan& plan = *this->plan();
    const double required = waiting_units.value_or(0);
    const double demand = demand_rate();
    const double renewal_s = terms_.is_steady(demand, holder_count_)
                                 ? renewal_margin * seconds(terms_.renewal_period(holder_count_))
                                 : 0;
    const double ahead_units = demand * std::max(min_lease_coverage_s, renewal_s);
    LeaseRequest request{nonce, subset_.customer_hash, plan_, subset_.size, subset_.start};
    request.required_units = missing_units(required);
    request.ceiling_units = missing_ceiling_units(required);
    request.demand_rate = demand;
    request.standing_share = running_share();
    if (plan.rate > 0) {
        const double available = waiting_units ? std::max(required, units_) : units_;
        request.extra_units = std::max(0.0, ahead_units - available);
    }
    if (plan.rate > 0 && !waiting_units) {
        const double kept = demand > 0 ? std::max(ahead_units, standing_store()) : 0;
        request.returned_units = round_down_to_step(std::max(0.0, units_ - kept));
    }
    if (plan.ceiling_rate > 0 && !waiting_units)
        request.ceiling_units =
            std::max(0.0, std::min(ahead_units, max_ceiling_units()) - ceiling_units_);
    units_ -= request.returned_units;
    request.returned_units += std::exchange(overflow_units_, 0);
    lease_requested_at_ = context_.now;
    requested_demand_rate_ = demand;
    return request;
}

void CustomerQuota::apply_grant(const LeaseGrant& grant) {
    const Plan& plan = *this->plan();
    refill();
    holder_count_ = std::clamp(grant.holder_count, 1, context_.settings.instance_count);
    if (grant.holder_count > 0) {  // from the owner; a successor grants no standing lease
        // A smaller share counts from the request on, as the owner counts it.
        const double lost_share_s = std::max(0.0, running_share() - grant.standing_share) *
                                    seconds(context_.now - lease_requested_at_);
        units_ -= lost_share_s * plan.rate;
        ceiling_units_ -= lost_share_s * plan.ceiling_rate * common_ceiling_share(subset_.size);
        holder_count_ = grant.holder_count;
        fleet_demand_rate_ = grant.demand_rate;
        owner_reported_at_ = context_.now;
        standing_share_ = grant.standing_share;
        standing_until_ =
            lease_requested_at_ + LeaseTerms::lease_lifetime(terms_.renewal_period(holder_count_));
    }
    units_ = std::min(units_ + grant.units, std::max(plan.burst, units_));
    // What no waiting request uses up, the next refill cuts to the most that may be here.
    ceiling_units_ += grant.ceiling_units;
}

bool CustomerQuota::should_return_lease() const {
    return has_standing_lease() && context_.now - lease_requested_at_ >= min_lease_hold &&
           demand_rate() <= 0;
}

}  // namespace silverreach
