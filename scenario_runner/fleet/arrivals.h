// When each request of a fleet's day comes, of which account, and at which instance: the same draw
// for sockets and virtual time. No I/O.
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
    explicit Arrivals(const FleetDay& day);
    Arrival next();  // in order of time, without end

  private:
    int instance();
    const FleetDay& day_;
    std::mt19937_64 random_;
    Micros at_{0};
    double rate_;
};
std::string account_name(int account);
// Where the module keeps the first account's ledger.
int home_of_first(const FleetDay& day);

}  // namespace silverreach::scenario
