// Drives several engines whose messages to each other are lost, duplicated, delayed and reordered.
//
// Every attempt succeeds after `response_time`. Random choices come from one seeded generator, so
// that a run repeats exactly.
#pragma once

#include <cstdint>
#include <map>
#include <random>
#include <vector>

#include "tests/decisions/support/engine_harness.h"

namespace silverreach::decision_tests {

// An attempt with the rank of the instance that sent it.
struct FleetAttempt {
    int rank = 0;
    SendAttempt attempt;
};

class FleetHarness {
  public:
    FleetHarness(Settings settings, int instance_count, std::uint64_t seed);

    void advance(Micros duration);
    // A request of the default customer with 500 ms left, at the instance `rank`.
    void arrive(int rank, RequestId id, double units, int subset_size);
    // Replaces the engine of one instance by a fresh one; its timers and responses are lost.
    void restart(int rank);
    // The attempts sent since the last call.
    std::vector<FleetAttempt> take_sent();
    int random_rank(int instance_count);

    std::mt19937_64 random;
    std::vector<EngineHarness> instances;
    Micros now = engine_start;
    Micros response_time{5'000};

  private:
    struct Message {
        int to = 0;
        PeerMessageReceived received;
    };

    void carry_out(int rank, const std::vector<Action>& actions);
    void post(int from, const SendPeerMessage& message);
    void run_timers();
    void deliver_messages();
    void deliver_responses();

    Settings settings_;
    std::multimap<Micros, Message> messages_;        // by the time of delivery
    std::multimap<Micros, FleetAttempt> responses_;  // by the time of the response
    std::vector<FleetAttempt> sent_;
};

}  // namespace silverreach::decision_tests
