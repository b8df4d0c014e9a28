// Which instance owns a customer's quota. A customer arrives through a subset of the instances; a
// hash of its name picks the owner among them and the order of the owner's successors.
#pragma once

#include <cstdint>

namespace silverreach {

// The instances through which a customer arrives: `size` ranks from `start` on, counted round.
struct CustomerSubset {
    std::uint32_t customer_hash = 0;
    int size = 1;
    int start = 0;
};

// Rank of the owner (`successor` 0) or of its n-th successor. Equal at every instance, so that no
// agreement is needed. `instance_count`: of the fleet, 1 at least.
int quota_owner(const CustomerSubset& subset, int successor, int instance_count);

}  // namespace silverreach
