// Random request arrivals of a fleet scenario: time, account and instance of each. Sockets and
// virtual time use the same sequence. No I/O.
#pragma once

#include <random>
#include <string>
#include <vector>

#include "scenario_runner/fleet/fleet_scenario.h"

namespace silverreach::scenario {

struct Arrival {
    Micros at{0};
    int account = 0, instance = 0;
};
class Arrivals {
  public:
    explicit Arrivals(const FleetScenario& scenario);
    Arrival next();  // ordered by time; the sequence does not end

  private:
    int draw_instance();
    const FleetScenario& scenario_;
    std::mt19937_64 random_;
    Micros at_{0};
    double rate_;
};
std::string account_name(int account);
// Returns the rank of the instance that owns the first account's quota.
int first_account_owner(const FleetScenario& scenario);

}  // namespace silverreach::scenario
