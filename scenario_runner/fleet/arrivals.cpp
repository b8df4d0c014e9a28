#include "scenario_runner/fleet/arrivals.h"

#include <algorithm>

#include "decisions/quota/lease_codec.h"

namespace silverreach::scenario {

Arrivals::Arrivals(const FleetScenario& scenario)
    : scenario_(scenario),
      random_(scenario.seed * 7919 + 17),
      rate_(scenario.offered_rate * scenario.accounts) {}

int Arrivals::draw_instance() {
    const int count = scenario_.instances;
    std::uniform_real_distribution<double> uniform(0, 1);
    const double draw = uniform(random_);
    if (scenario_.shape == LoadShape::even)
        return std::min(count - 1, static_cast<int>(draw * count));
    if (scenario_.shape == LoadShape::halving) {
        double share = 0.5, sum = share;
        int i = 0;
        while (draw >= sum && i < count - 1)
            share /= 2, sum += share, ++i;
        return i;
    }
    const int third_size = std::max(1, count / 3),
              interval_index = static_cast<int>(at_ / scenario_.move_interval);
    return (interval_index * third_size +
            std::min(third_size - 1, static_cast<int>(draw * third_size))) %
           count;
}

Arrival Arrivals::next() {
    std::exponential_distribution<double> interarrival(rate_);
    at_ += Micros(static_cast<std::int64_t>(interarrival(random_) * 1e6) + 1);
    std::uniform_real_distribution<double> uniform(0, 1);
    int account = 0;
    if (scenario_.accounts > 1 && uniform(random_) >= scenario_.first_account_share)
        account = static_cast<int>(random_() % static_cast<std::uint64_t>(scenario_.accounts));
    return {at_, account, draw_instance()};
}

std::string account_name(int account) {
    return "account-" + std::to_string(account);
}
int first_account_owner(const FleetScenario& scenario) {
    return static_cast<int>(hash_name(account_name(0)) %
                            static_cast<std::uint32_t>(scenario.instances));
}

}  // namespace silverreach::scenario
