#include "decisions/load_balancing/endpoint_selector.h"

#include <algorithm>
#include <utility>

#include "decisions/retry/retry_policy.h"

namespace silverreach {
namespace {
constexpr std::size_t max_compared_endpoints = 12;  // for one choice
// Factors on the expected cost.
constexpr double cost_jitter = 0.1;  // keeps instances from all choosing the same endpoint
constexpr double last_endpoint_cost_factor = 4;
constexpr double avoided_kind_cost_factor = 16;
constexpr double cross_zone_cost_scale = 5;

// The two cheapest endpoints offered so far.
class CheapestTwo {
  public:
    void offer(Endpoint& endpoint, double cost) {
        if (!best_ || cost < best_cost_) {
            second_ = best_;
            second_cost_ = best_cost_;
            best_ = &endpoint;
            best_cost_ = cost;
        } else if (!second_ || cost < second_cost_) {
            second_ = &endpoint;
            second_cost_ = cost;
        }
    }
    CandidateList candidates() const { return {best_, second_}; }

  private:
    Endpoint* best_ = nullptr;
    Endpoint* second_ = nullptr;
    double best_cost_ = 0;
    double second_cost_ = 0;
};
}  // namespace

EndpointSelector::EndpointSelector(const DecisionContext& context, RandomSource& random,
                                   EndpointTable& endpoints, SlowStart& slow_start,
                                   const InFlightEstimator& estimator,
                                   const ConcurrencyLimiter& limiter,
                                   const OutlierDetector& outlier_detector,
                                   const HealthChecker& health_checker)
    : context_(context),
      random_(random),
      endpoints_(endpoints),
      slow_start_(slow_start),
      estimator_(estimator),
      limiter_(limiter),
      outlier_detector_(outlier_detector),
      health_checker_(health_checker) {}

CandidateList EndpointSelector::select_candidates(const RequestState& request) {
    std::vector<Endpoint*>& order = endpoints_.preference_order();
    const std::size_t preferred_count = std::min(preferred_endpoints, order.size());
    CheapestTwo cheapest;
    std::size_t compared_count = 0;
    for (std::size_t i = 0; i < order.size() && compared_count < max_compared_endpoints; ++i) {
        if (i < preferred_count) std::swap(order[i], order[i + random_.index(preferred_count - i)]);
        Endpoint& endpoint = *order[i];
        if (!is_eligible(request, endpoint)) continue;
        const double in_flight = estimator_.in_flight(endpoint);
        if (health_checker_.has_sufficient_samples(endpoint) &&
            in_flight >= limiter_.limit(endpoint))
            continue;
        ++compared_count;
        const bool warming_up = endpoints_.warm_count() > 0 &&
                                capacity_share(endpoint, context_.settings, context_.now) < 1;
        if (!warming_up)
            cheapest.offer(endpoint, request_cost(request, endpoint, in_flight));
        else if (slow_start_.admit_during_slow_start(endpoint, request.arrival.units))
            return {&endpoint, nullptr};
    }
    return cheapest.candidates();
}

bool EndpointSelector::is_eligible(const RequestState& request, const Endpoint& endpoint) const {
    return endpoint.entry.status == EndpointStatus::available &&
           !outlier_detector_.is_ejected(endpoint) && may_run_at(context_, request, endpoint) &&
           !outlier_detector_.avoids_class(endpoint, request.arrival.request_class);
}

double EndpointSelector::expected_cost(const Endpoint& endpoint, double in_flight) const {
    const double responses = endpoint.recent_responses(context_.now);
    const double overall_response_s = std::max(context_.traffic.mean_response_s, 1e-3);
    const double response_s =
        (responses * endpoint.mean_response_s + prior_responses * overall_response_s) /
        (responses + prior_responses);
    return (in_flight + 1) * response_s /
           (std::max(endpoint.entry.weight, 1e-3) *
            capacity_share(endpoint, context_.settings, context_.now));
}

double EndpointSelector::request_cost(const RequestState& request, const Endpoint& endpoint,
                                      double in_flight) {
    double cost = expected_cost(endpoint, in_flight) *
                  (1 - cost_jitter / 2 + cost_jitter * random_.uniform());
    if (endpoint.entry.zone != context_.settings.zone)
        cost *= 1 + cross_zone_cost_scale * context_.settings.cross_zone_cost;
    if (endpoint.entry.id == request.last_endpoint) cost *= last_endpoint_cost_factor;
    if (outlier_detector_.avoids_kind(endpoint, request.kind)) cost *= avoided_kind_cost_factor;
    return cost;
}

Endpoint* EndpointSelector::best_checked_candidate(const RequestState& request) const {
    Endpoint* best = nullptr;
    double best_cost = 0;
    for (Endpoint* endpoint : request.candidates) {
        if (!health_checker_.has_capacity(*endpoint) || !may_run_at(context_, request, *endpoint))
            continue;
        const double cost = expected_cost(*endpoint, estimator_.in_flight(*endpoint));
        if (!best || cost < best_cost) {
            best = endpoint;
            best_cost = cost;
        }
    }
    return best;
}

}  // namespace silverreach
