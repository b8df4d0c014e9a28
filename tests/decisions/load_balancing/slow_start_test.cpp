// The load that a newly started endpoint gets during its slow start.
#include "decisions/load_balancing/slow_start.h"

#include <gtest/gtest.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "tests/decisions/support/engine_harness.h"
#include "tests/decisions/support/fleet_harness.h"

using namespace silverreach;
using namespace silverreach::decision_tests;
using namespace std::chrono_literals;

namespace {
// Admission to an endpoint in slow start is random, so the tests compare sums over this many runs.
constexpr int seed_count = 20;
constexpr Micros request_interval = 50ms;

using AttemptsByEndpoint = std::map<std::string, int>;

EndpointEntry restarted_endpoint(const std::string& id, Micros started_at) {
    EndpointEntry endpoint = make_endpoint(id);
    endpoint.started_at = started_at;
    return endpoint;
}

// Sends 20 requests/s. When four are outstanding, the oldest succeeds with a duration of 200 ms.
class PipelinedLoad {
  public:
    explicit PipelinedLoad(EngineHarness& harness) : harness_(harness) {}
    AttemptsByEndpoint run(Micros duration) {
        constexpr std::size_t max_outstanding = 4;
        AttemptsByEndpoint attempts;
        for (Micros elapsed{0}; elapsed < duration; elapsed += request_interval) {
            harness_.advance(request_interval);
            if (outstanding_.size() >= max_outstanding) {
                const SendAttempt oldest = outstanding_.front();
                outstanding_.pop_front();
                harness_.succeed(oldest.id, oldest.endpoint, 200ms);
            }
            for (const SendAttempt& sent :
                 actions_of<SendAttempt>(harness_.arrive({.id = next_id_++}))) {
                ++attempts[sent.endpoint];
                outstanding_.push_back(sent);
            }
        }
        return attempts;
    }

  private:
    EngineHarness& harness_;
    RequestId next_id_ = 1;
    std::deque<SendAttempt> outstanding_;
};

// Sends 20 requests/s. Each succeeds immediately, with a reported duration of 30 ms.
AttemptsByEndpoint run_instant_load(EngineHarness& harness, Micros duration, RequestId& next_id) {
    AttemptsByEndpoint attempts;
    for (Micros elapsed{0}; elapsed < duration; elapsed += request_interval) {
        harness.advance(request_interval);
        const RequestId id = next_id++;
        const auto sent = actions_of<SendAttempt>(harness.arrive({.id = id}));
        if (sent.empty()) continue;
        harness.succeed(id, sent[0].endpoint, 30ms);
        ++attempts[sent[0].endpoint];
    }
    return attempts;
}
}  // namespace

TEST(SlowStart, RestartedEndpointGetsASmallShareThatGrows) {
    int early_attempts = 0;
    int late_attempts = 0;
    for (int seed = 1; seed <= seed_count; ++seed) {
        EngineHarness harness(without_rate_quota(single_instance_settings()),
                              make_endpoints('a', 'c'), static_cast<std::uint64_t>(seed));
        PipelinedLoad load(harness);
        load.run(10s);
        harness.handle(EndpointsChanged{false, {restarted_endpoint("c", harness.now)}});
        const int first_attempts = load.run(2s)["c"];
        EXPECT_LE(first_attempts, 10) << seed;
        early_attempts += first_attempts;
        late_attempts += load.run(8s)["c"];
    }
    // 2 s at a fifth to a third of 6.7 requests/s, plus one or two initial requests.
    EXPECT_LE(early_attempts, 6 * seed_count);
    EXPECT_GT(late_attempts, 15 * seed_count);
}

// If an instance could send a request whenever its budget is above 0, hundreds of instances could
// each send one at the same time.
TEST(SlowStart, HundredsOfInstancesTogetherKeepTheShare) {
    constexpr int instance_count = 300;
    Settings settings = without_rate_quota(two_instance_settings());
    FleetHarness fleet(settings, instance_count, 3);
    fleet.response_time = 100ms;
    RequestId last_id = 0;
    const auto count_attempts = [&](Micros duration) {  // 100 requests/s on four endpoints
        int attempts = 0;
        for (Micros elapsed{0}; elapsed < duration; elapsed += 10ms) {
            fleet.advance(10ms);
            fleet.arrive(fleet.random_rank(instance_count), ++last_id, 1, instance_count);
            for (const FleetAttempt& sent : fleet.take_sent())
                attempts += sent.attempt.endpoint == "d" ? 1 : 0;
        }
        return attempts;
    };
    count_attempts(15s);
    const EndpointEntry restarted = restarted_endpoint("d", fleet.now);
    for (EngineHarness& instance : fleet.instances)
        instance.handle(EndpointsChanged{false, {restarted}});
    // An even share is 25 requests/s; slow start begins with a fifth of it.
    EXPECT_LE(count_attempts(2s), 25);
    EXPECT_GT(count_attempts(8s), 20);  // the endpoint is not starved either
}

// If the share were based on the load of the few warm endpoints, spread over all endpoints,
// endpoints in slow start would get almost no load, and the overload of the warm ones would
// continue.
TEST(SlowStart, ManyRestartedEndpointsGetAShareOfThePreviousWarmRate) {
    int attempts_at_restarted = 0;
    for (int seed = 1; seed <= seed_count; ++seed) {
        EngineHarness harness(without_rate_quota(single_instance_settings()),
                              make_endpoints('a', 'h'), static_cast<std::uint64_t>(seed));
        RequestId next_id = 1;
        run_instant_load(harness, 20s, next_id);
        EndpointsChanged change{false, {}};
        for (char letter = 'c'; letter <= 'h'; ++letter)
            change.endpoints.push_back(restarted_endpoint(std::string(1, letter), harness.now));
        harness.handle(change);
        for (const auto& [endpoint, attempts] : run_instant_load(harness, 6s, next_id))
            attempts_at_restarted += endpoint >= "c" ? attempts : 0;
    }
    // A warm endpoint had 2.5 requests/s. Half of twice that, at a fifth to two thirds of the
    // capacity, for six endpoints in 6 s is about 40. Spread over all endpoints it would be half.
    EXPECT_GT(attempts_at_restarted, 30 * seed_count);
    EXPECT_LT(attempts_at_restarted, 60 * seed_count);
}

TEST(SlowStart, CapacityShareGrowsFromTheInitialShareToFullCapacity) {
    const Settings settings = single_instance_settings();  // initial share 0.2, warm after 10 s
    Endpoint endpoint;
    EXPECT_EQ(capacity_share(endpoint, settings, engine_start), 1) << "started long ago";
    endpoint.slow_start_began_at = engine_start;
    EXPECT_DOUBLE_EQ(capacity_share(endpoint, settings, engine_start), 0.2);
    EXPECT_DOUBLE_EQ(capacity_share(endpoint, settings, engine_start + 5s), 0.6);
    EXPECT_EQ(capacity_share(endpoint, settings, engine_start + 10s), 1);
}
