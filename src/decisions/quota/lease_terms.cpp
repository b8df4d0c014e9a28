#include "decisions/quota/lease_terms.h"

#include <algorithm>

#include "decisions/decaying_counter.h"
#include "decisions/quota/peer_mailbox.h"

namespace silverreach {
namespace {

constexpr double min_renewal_period_s = 0.25;
constexpr Micros min_lease_lifetime{2'000'000};
constexpr int lease_lifetime_periods = 4;  // renewals that may be lost before a lease expires

// The share of a ceiling that is split evenly over the subset is even_split_instances / subset
// size, and at most max_even_split_share. It is small in large subsets, because most of their
// instances do not use their part.
constexpr double max_even_split_share = 0.5;
constexpr double even_split_instances = 2;

}  // namespace

Micros LeaseTerms::renewal_period(int holder_count) const {
    const double usable_message_rate =
        std::max(1.0, settings_.peer_messages_per_second * usable_message_rate_share);
    return micros(
        std::max(min_renewal_period_s, renewal_margin * holder_count / usable_message_rate));
}

Micros LeaseTerms::lease_lifetime(Micros renewal_period) {
    return std::max(min_lease_lifetime, lease_lifetime_periods * renewal_period);
}

bool LeaseTerms::is_steady(double demand_rate, int holder_count) const {
    return demand_rate * seconds(renewal_period(holder_count)) >= 1;
}

double LeaseTerms::standing_burst(double rate, double burst, int subset_size) const {
    return std::min(burst, 2 * rate * seconds(lease_lifetime(renewal_period(subset_size))));
}

double common_ceiling_share(int subset_size) {
    return 1 - std::min(max_even_split_share, even_split_instances / subset_size);
}

double even_ceiling_share(double amount, int subset_size) {
    return amount * (1 - common_ceiling_share(subset_size)) / subset_size;
}

}  // namespace silverreach
