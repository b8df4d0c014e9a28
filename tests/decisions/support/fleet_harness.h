// Drives several engines. Their messages to each other are lost, duplicated, delayed and reordered.
//
// Every attempt succeeds after `response_time`. All random choices use one seeded generator, so
// runs are reproducible.
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
    // A request of the default customer arrives at the instance `rank` with 500 ms remaining.
    void arrive(int rank, RequestId id, double units, int subset_size);
    // Replaces the engine of one instance by a new one; its timers and responses are lost.
    void restart(int rank);
    // Returns the attempts sent since the last call.
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
    void post_message(int from, const SendPeerMessage& message);
    void run_timers();
    void deliver_messages();
    void deliver_responses();

    Settings settings_;
    std::multimap<Micros, Message> messages_;        // by delivery time
    std::multimap<Micros, FleetAttempt> responses_;  // by the time at which they are due
    std::vector<FleetAttempt> sent_;
};

}  // namespace silverreach::decision_tests
