// Determines which instance owns a customer's quota. A customer's requests arrive through a subset
// of the instances; a hash of the customer's name selects the owner in this subset and the order of
// the owner's successors.
#pragma once

#include <cstdint>

namespace silverreach {

// The instances through which a customer's requests arrive: `size` ranks from `start` on, modulo
// the number of instances.
struct CustomerSubset {
    std::uint32_t customer_hash = 0;
    int size = 1;
    int start = 0;
};

// Returns the rank of the owner (`successor_index` 0) or of its n-th successor. The result is the
// same at every instance, so that no agreement protocol is needed. `instance_count` is the number
// of instances in the fleet, at least 1.
int quota_owner(const CustomerSubset& subset, int successor_index, int instance_count);

}  // namespace silverreach
