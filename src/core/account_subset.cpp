#include "core/account_subset.h"

#include <xxhash.h>

#include <algorithm>
#include <cstdint>

namespace silverreach::core {

AccountSubset account_subset(std::string_view account, int instance_count, int subset_size) {
    const int size = subset_size <= 0 ? instance_count : std::min(subset_size, instance_count);
    if (size == instance_count) return {size, 0};
    const auto hash = XXH64(account.data(), account.size(), 0);
    return {size, static_cast<int>(hash % static_cast<std::uint64_t>(instance_count))};
}

}  // namespace silverreach::core
