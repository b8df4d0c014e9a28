// Estimates the demand of one customer at this instance from its recent requests.
#pragma once

#include "decisions/decaying_counter.h"
#include "silverreach/interface.h"

namespace silverreach {

// Rates are in units a second.
class DemandEstimator {
  public:
    explicit DemandEstimator(Micros first_request_at) : first_request_at_(first_request_at) {}

    void add_request(Micros now, double units);
    // Rounded up to the step of the wire; 0 once several expected requests are missing. Accounts
    // for a first request that was only just.
    double rate(Micros now) const;
    // The plain mean over the memory, for comparison with the demand on other instances.
    double mean_rate(Micros now) const;
    Micros last_request_at() const { return last_request_at_; }

  private:
    DecayingCounter units_;
    Micros first_request_at_;
    Micros last_request_at_{0};
};

}  // namespace silverreach
