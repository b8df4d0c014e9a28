#include "core/account_subset.h"

#include <gtest/gtest.h>

#include <cstddef>
#include <string>
#include <vector>

using namespace silverreach::core;

TEST(AccountSubset, IsTheSameOnAllInstancesAndSpreadsEvenly) {
    constexpr int instance_count = 10;
    constexpr int subset_size = 3;
    std::vector<int> accounts_by_rank(instance_count);
    for (int index = 0; index < 2000; ++index) {
        const AccountSubset subset =
            account_subset("account-" + std::to_string(index), instance_count, subset_size);
        EXPECT_EQ(subset.size, subset_size);
        for (int rank = 0; rank < instance_count; ++rank)
            accounts_by_rank[static_cast<std::size_t>(rank)] +=
                subset.contains(rank, instance_count) ? 1 : 0;
    }
    for (const int account_count : accounts_by_rank)
        EXPECT_NEAR(account_count, 600, 90);
    EXPECT_TRUE(account_subset("x", 4, 0).contains(3, 4)) << "0 selects all instances";
    EXPECT_TRUE(account_subset("x", 4, 9).contains(0, 4));
}
