#include "event/buffer_budget.h"

#include <gtest/gtest.h>

#include <memory>
#include <numeric>
#include <random>
#include <vector>

using silverreach::event::BufferBudget;

// Guards against bytes that are returned twice or never.
TEST(BufferBudget, TheTotalIsTheSumOfTheReservations) {
    constexpr int steps = 10'000;
    constexpr std::size_t connections = 8, max_connection_bytes = 70'000, max_bytes = 200'000;
    BufferBudget budget(max_bytes);
    std::vector<std::unique_ptr<BufferBudget::Reservation>> reservations(connections);
    std::vector<std::size_t> expected(connections, 0);
    std::mt19937 random(7);
    for (int step = 0; step < steps; ++step) {
        const std::size_t i = random() % connections;
        const bool ends = random() % 4 == 0;
        expected[i] = ends ? 0 : random() % max_connection_bytes;
        if (ends)
            reservations[i].reset();
        else if (!reservations[i])
            reservations[i] = std::make_unique<BufferBudget::Reservation>(budget);
        if (reservations[i]) reservations[i]->resize(expected[i]);
        const std::size_t sum = std::accumulate(expected.begin(), expected.end(), std::size_t{0});
        ASSERT_EQ(budget.used_bytes(), sum) << "step " << step;
        ASSERT_EQ(budget.exceeded(), sum > max_bytes) << "step " << step;
    }
}

TEST(BufferBudget, BytesThatAreReturnedAgainAreReturnedOnce) {
    BufferBudget budget(100);
    BufferBudget::Reservation reservation(budget);
    BufferBudget::Reservation other(budget);
    reservation.resize(60);
    other.resize(30);
    reservation.resize(0);
    reservation.resize(0);
    EXPECT_EQ(budget.used_bytes(), 30u);
}
