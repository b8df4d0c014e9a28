// The gateway instances through which one account's requests arrive.
#pragma once

#include <string_view>

namespace silverreach::core {

// `size` instances from rank `start` on, modulo the fleet.
struct AccountSubset {
    int size = 1;
    int start = 0;
    bool contains(int rank, int instance_count) const {
        return (rank - start + instance_count) % instance_count < size;
    }
};

// The same on every instance: the start comes from a hash of the account's name. `subset_size` of
// 0 or less, or above the fleet's: all instances.
AccountSubset account_subset(std::string_view account, int instance_count, int subset_size);

}  // namespace silverreach::core
