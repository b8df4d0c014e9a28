// Estimates how many requests of all instances an endpoint has in flight: from its load report
// while that is fresh, otherwise from this instance's own attempts.
#pragma once

#include "decisions/decision_context.h"
#include "decisions/load_balancing/endpoint.h"
#include "decisions/load_balancing/endpoint_table.h"

namespace silverreach {

class InFlightEstimator {
  public:
    static constexpr Micros load_report_lifetime{250'000};

    InFlightEstimator(const DecisionContext& context, const EndpointTable& endpoints)
        : context_(context), endpoints_(endpoints) {}

    // Requests in flight at the endpoint, by report or estimate.
    double in_flight(const Endpoint& endpoint) const;
    // Attempts of all instances in flight at the endpoint, regardless of its load reports.
    double estimate(const Endpoint& endpoint) const;
    bool has_fresh_report(const Endpoint& endpoint) const {
        return endpoint.reported_at > Micros{0} &&
               context_.now - endpoint.reported_at < load_report_lifetime;
    }

    void on_load_report(Endpoint& endpoint, const LoadReport& report) const;
    void on_attempt_sent(Endpoint& endpoint);
    // `duration`: of an attempt at any endpoint.
    void on_attempt_ended(Micros duration);

  private:
    const DecisionContext& context_;
    const EndpointTable& endpoints_;
    DecayingCounter attempt_time_s_;  // total duration of this instance's attempts in seconds
};

}  // namespace silverreach
