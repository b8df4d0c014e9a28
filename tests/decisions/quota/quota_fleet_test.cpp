// Quotas and ceilings over a complete fleet: limits on what all instances together send.
#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <map>
#include <set>
#include <utility>

#include "tests/decisions/support/fleet_harness.h"

using namespace silverreach;
using namespace silverreach::decision_tests;
using namespace std::chrono_literals;

namespace {
// Token bucket to which all attempts of the fleet are charged. Records its lowest level.
class ReferenceBucket {
  public:
    ReferenceBucket(double rate, double burst, Micros now)
        : rate_(rate), burst_(burst), level_(burst), lowest_level_(burst), updated_at_(now) {}
    void charge(double units, Micros now) {
        const double elapsed_s = std::chrono::duration<double>(now - updated_at_).count();
        level_ = std::min(burst_, level_ + rate_ * elapsed_s) - units;
        updated_at_ = now;
        lowest_level_ = std::min(lowest_level_, level_);
    }
    double lowest_level() const { return lowest_level_; }

  private:
    double rate_;
    double burst_;
    double level_;
    double lowest_level_;
    Micros updated_at_;
};

// Generates load on one customer's ceiling, with restarts and with idle periods in which leases
// refill the stores.
class CeilingLoad {
  public:
    CeilingLoad(int instance_count, std::uint64_t seed)
        : subset_size_(std::min(instance_count, 8)),
          fleet_(settings(), instance_count, seed),
          bucket_(rate(), burst(), fleet_.now) {}
    double burst() const { return 6.0 * subset_size_; }
    // Runs the load and returns the lowest level of the ceiling's bucket.
    double run() {
        constexpr int step_count = 1500;
        constexpr int idle_period_interval = 300;
        constexpr int idle_period_steps = 100;
        for (int step = 0; step < step_count; ++step) {
            fleet_.advance(Micros(4000 * (1 + fleet_.random() % 8)));
            charge_sent();
            const int rank = fleet_.random_rank(subset_size_);
            if (fleet_.random() % 200 == 0) fleet_.restart(rank);
            if (step % idle_period_interval >= idle_period_steps) send_requests(step, rank);
        }
        return bucket_.lowest_level();
    }

  private:
    double rate() const { return 3.0 * subset_size_; }
    Settings settings() const {
        Settings settings = two_instance_settings();
        settings.plans[0].rate = 50;  // high enough that only the ceiling limits
        settings.plans[0].burst = 60;
        settings.plans[0].ceiling_rate = rate();
        settings.plans[0].ceiling_burst = burst();
        return settings;
    }
    // Only a request's first attempt is charged.
    void charge_sent() {
        for (const FleetAttempt& sent : fleet_.take_sent())
            bucket_.charge(std::exchange(uncharged_units_[sent.attempt.id], 0), fleet_.now);
    }
    void send_requests(int step, int rank) {
        for (int request = 0; request < 3; ++request) {
            const auto id = static_cast<RequestId>(10) * static_cast<RequestId>(step) +
                            static_cast<RequestId>(request + 1);
            uncharged_units_[id] = static_cast<double>(1 + fleet_.random() % 3);
            fleet_.arrive(step % 7 < 4 ? 0 : rank, id, uncharged_units_[id], subset_size_);
        }
    }

    int subset_size_;
    FleetHarness fleet_;
    ReferenceBucket bucket_;
    std::map<RequestId, double> uncharged_units_;
};
}  // namespace

// Messages are lost, duplicated, delayed and reordered, and instances restart at any time.
TEST(QuotaFleet, InstancesTogetherStayUnderTheCeiling) {
    for (const int instance_count : {2, 12, 300}) {
        const std::uint64_t seed_count = instance_count > 100 ? 2 : 12;
        for (std::uint64_t seed = 1; seed <= seed_count; ++seed) {
            CeilingLoad load(instance_count, seed);
            const double lowest_level = load.run();
            EXPECT_GE(lowest_level, -std::max(3.0, load.burst() / 10))
                << instance_count << " instances, seed " << seed;
            // The burst is not used completely: a customer that exceeds its quota gets the common
            // share of it in advance of use, not for each request.
            EXPECT_LT(lowest_level, load.burst() * 0.8)
                << "the load hardly uses the ceiling: " << instance_count << " instances, seed "
                << seed;
        }
    }
}

// With an even split of less than one unit, instances would reject all requests of a customer or
// admit one request each.
TEST(QuotaFleet, QuotaHoldsAndCustomersAreServedAcrossHundredsOfInstances) {
    constexpr Micros run_time = 20s;
    RequestId last_id = 0;
    for (const int instance_count : {2, 12, 300}) {
        Settings settings = two_instance_settings();
        settings.plans[0] = {.name = "plan", .rate = 10, .burst = 20, .excess_cost_factor = 1};
        FleetHarness fleet(settings, instance_count, 7);
        const auto count_admitted = [&](Micros request_interval) {
            for (Micros elapsed{0}; elapsed < run_time; elapsed += request_interval) {
                fleet.advance(request_interval);
                const int rank = fleet.random_rank(instance_count);
                fleet.arrive(rank, ++last_id, 1, instance_count);
            }
            std::set<RequestId> admitted;
            for (const FleetAttempt& sent : fleet.take_sent())
                admitted.insert(sent.attempt.id);
            return static_cast<double>(admitted.size());
        };
        // 5 requests/s with a quota of 10 units/s: nearly all 100 requests are admitted.
        EXPECT_GT(count_admitted(200ms), 90) << instance_count;
        // 50 requests/s: 220 are admitted, and those for which a successor grants leases while
        // lease requests to the owner are lost.
        const double admitted_over_quota = count_admitted(20ms);
        EXPECT_GT(admitted_over_quota, 150) << instance_count;
        EXPECT_LT(admitted_over_quota, 290) << instance_count;
    }
}
