#include "decisions/admission/admission_control.h"

#include <algorithm>
#include <cmath>

namespace silverreach {
namespace {
// Time reserved for the response.
constexpr double response_margin_factor = 1.3;  // of the expected response time
constexpr double max_margin_share = 0.8;        // of the remaining time
}  // namespace

Micros AdmissionControl::latest_start(const RequestArrived& arrival) const {
    const RequestClass& request_class = context_.settings.classes[arrival.request_class];
    const double remaining_s =
        seconds(std::min(arrival.time_remaining, request_class.latency_objective));
    const double expected_s = context_.traffic.expected_response_s(std::max(0.0, arrival.units));
    const double margin_s =
        std::min(response_margin_factor * expected_s, max_margin_share * remaining_s);
    return context_.now + micros(remaining_s - margin_s);
}

QuotaDecision AdmissionControl::check_quota(const RequestState& request) const {
    const CustomerQuota& customer = *request.customer;
    const double units = request.arrival.units;
    const Plan* plan = quota_.plan_of(customer);
    if (!plan || (quota_.missing_units(customer, units) <= 0 &&
                  quota_.missing_ceiling_units(customer, units) <= 0))
        return {};
    if (exceeds_concurrency_quota(customer, *plan))
        return {QuotaStatus::exhausted,
                {RejectReason::concurrency_limit, micros(context_.traffic.mean_response_s)}};
    if (const auto retry_after = quota_.known_shortage(customer, units))
        return {QuotaStatus::exhausted, {RejectReason::quota_exhausted, *retry_after}};
    return {QuotaStatus::needs_lease, {}};
}

// Each instance may have its share of the quota in flight, but at least one attempt.
bool AdmissionControl::exceeds_concurrency_quota(const CustomerQuota& customer,
                                                 const Plan& plan) const {
    if (plan.max_concurrent_attempts <= 0) return false;
    const double share = plan.max_concurrent_attempts * quota_.demand_share(customer);
    return customer.attempts_in_flight >= std::max(1.0, std::round(share));
}

std::optional<Rejection> AdmissionControl::check_excess(const RequestState& request,
                                                        const Rejection& shortage) const {
    const CustomerQuota& customer = *request.customer;
    if (quota_.missing_ceiling_units(customer, request.arrival.units) > 0)
        return Rejection{RejectReason::ceiling_reached, shortage.retry_after};
    const Plan& plan = *quota_.plan_of(customer);
    const bool weight_exceeds_cost = plan.excess_weight_factor > plan.excess_cost_factor;
    if (weight_exceeds_cost && overload_detector_.has_spare_capacity() && queue_.empty())
        return std::nullopt;
    return shortage;
}

Pacing AdmissionControl::pace(const RequestState& request) {
    CustomerQuota& customer = *request.customer;
    const Plan* plan = quota_.plan_of(customer);
    if (!plan || !overload_detector_.is_overloaded() || plan->rate <= 0 || plan->burst <= 0)
        return {};
    const double stable_s = 1 / (plan->rate * quota_.demand_share(customer));
    const double warmup_s = plan->burst / plan->rate;
    customer.limiter.refill(context_.now, stable_s, warmup_s);
    const Micros delay = customer.limiter.next_free() - context_.now;
    if (context_.now + delay > request.latest_start) return {delay, true};
    customer.limiter.reserve(request.arrival.units, stable_s, warmup_s);
    return {delay, false};
}

}  // namespace silverreach
