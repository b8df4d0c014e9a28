#include "scenario_runner/fleet/arrivals.h"

#include <algorithm>

#include "decisions/quota/lease_codec.h"

namespace silverreach::scenario {

Arrivals::Arrivals(const FleetDay& day)
    : day_(day), random_(day.seed * 7919 + 17), rate_(day.offered * day.accounts) {}

int Arrivals::instance() {
    const int n = day_.instances;
    std::uniform_real_distribution<double> uniform(0, 1);
    const double u = uniform(random_);
    if (day_.shape == Shape::even) return std::min(n - 1, static_cast<int>(u * n));
    if (day_.shape == Shape::halving) {
        double part = 0.5, sum = part;
        int i = 0;
        while (u >= sum && i < n - 1)
            part /= 2, sum += part, ++i;
        return i;
    }
    const int third = std::max(1, n / 3), turn = static_cast<int>(at_ / day_.move_every);
    return (turn * third + std::min(third - 1, static_cast<int>(u * third))) % n;
}

Arrival Arrivals::next() {
    std::exponential_distribution<double> gap(rate_);
    at_ += Micros(static_cast<std::int64_t>(gap(random_) * 1e6) + 1);
    std::uniform_real_distribution<double> uniform(0, 1);
    int account = 0;
    if (day_.accounts > 1 && uniform(random_) >= day_.first_share)
        account = static_cast<int>(random_() % static_cast<std::uint64_t>(day_.accounts));
    return {at_, account, instance()};
}

std::string account_name(int account) {
    return "account-" + std::to_string(account);
}
int home_of_first(const FleetDay& day) {
    return static_cast<int>(hash_name(account_name(0)) % static_cast<std::uint32_t>(day.instances));
}

}  // namespace silverreach::scenario
