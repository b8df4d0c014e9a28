// Estimates the demand of one customer at this instance from its recent requests.
#pragma once

#include "decisions/decaying_counter.h"
#include "silverreach/interface.h"

namespace silverreach {

// Rates are in units per second.
class DemandEstimator {
  public:
    explicit DemandEstimator(Micros first_request_at) : first_request_at_(first_request_at) {}

    void add_request(Micros now, double units);
    // The demand rate, rounded up to lease_unit_step; 0 after a gap in which several units were
    // expected. Corrects for a short time since the first request.
    double rate(Micros now) const;
    // The decaying mean without rounding or correction, for comparison with the demand on other
    // instances.
    double mean_rate(Micros now) const;
    Micros last_request_at() const { return last_request_at_; }

  private:
    DecayingCounter units_;
    Micros first_request_at_;
    Micros last_request_at_{0};
};

}  // namespace silverreach
