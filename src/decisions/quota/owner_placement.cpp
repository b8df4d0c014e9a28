#include "decisions/quota/owner_placement.h"

namespace silverreach {

int quota_owner(const CustomerSubset& subset, int successor_index, int instance_count) {
    const auto size = static_cast<std::uint32_t>(subset.size);
    // Consecutive successors are a third of the subset apart, so that instances with adjacent
    // ranks, which may fail together, are not owner and successor.
    const std::uint32_t stride = 1 + size / 3;
    const std::uint32_t position =
        (subset.customer_hash + static_cast<std::uint32_t>(successor_index) * stride) % size;
    return static_cast<int>((static_cast<std::uint32_t>(subset.start) + position) %
                            static_cast<std::uint32_t>(instance_count));
}

}  // namespace silverreach
