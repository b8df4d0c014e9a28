// The gateway instances that receive the requests of one account.
#pragma once

#include <string_view>

namespace silverreach::core {

// `size` instances with consecutive ranks from `start`, modulo the number of instances.
struct AccountSubset {
    int size = 1;
    int start = 0;
    bool contains(int rank, int instance_count) const {
        return (rank - start + instance_count) % instance_count < size;
    }
};

// Returns the same subset on every instance, because its start is a hash of the account's name. A
// `subset_size` of 0 or less, or above `instance_count`, selects all instances.
AccountSubset account_subset(std::string_view account, int instance_count, int subset_size);

}  // namespace silverreach::core
