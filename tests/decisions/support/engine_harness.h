// Drives one DecisionEngine through its public interface with a simulated clock.
//
// The harness acts as the host program: it delivers events, runs the timers that the engine starts
// and records every action. Single-threaded; nothing happens unless a test calls a method.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include "silverreach/interface.h"

namespace silverreach::decision_tests {

// Clock time at which each harness creates its engine.
inline constexpr Micros engine_start{1'000'000};
// Customer of requests that do not set another one.
inline constexpr const char* default_customer = "c";

// One instance, one class "read" (latency objective 800 ms, deadline 2 s), one plan of 2 units/s
// with a burst of 4 units; up to three attempts, hedging, cancellation and Retry-After allowed.
Settings single_instance_settings();
// As above, with one peer and peer messages allowed.
Settings two_instance_settings();
// Removes the rate quota of the first plan.
Settings without_rate_quota(Settings settings);

EndpointEntry make_endpoint(const std::string& id,
                            EndpointStatus status = EndpointStatus::available,
                            std::int64_t cell = 0);
// Available endpoints, named by the letters from `first` to `last`.
std::vector<EndpointEntry> make_endpoints(char first, char last);

// The actions of one type, in order.
template <class T>
std::vector<T> actions_of(const std::vector<Action>& actions) {
    std::vector<T> matches;
    for (const Action& action : actions) {
        if (const T* match = std::get_if<T>(&action)) matches.push_back(*match);
    }
    return matches;
}
void append(std::vector<Action>& actions, const std::vector<Action>& more);

// A client's request with the values that most tests share.
struct ClientRequest {
    RequestId id = 0;
    double units = 1;
    Micros time_remaining{2'000'000};
    int plan = 0;
    int request_class = 0;
    std::string customer = default_customer;
    int subset_size = 1;
};

class EngineHarness {
  public:
    explicit EngineHarness(const Settings& settings,
                           std::vector<EndpointEntry> endpoints = make_endpoints('a', 'b'),
                           std::uint64_t seed = 1);

    // Each method returns the actions that it caused.
    std::vector<Action> handle(const Event& event);
    std::vector<Action> arrive(const ClientRequest& request);
    // A successful attempt always completes its request.
    std::vector<Action> end_attempt(AttemptEnded ended);
    std::vector<Action> succeed(RequestId id, const std::string& endpoint, Micros duration);
    // Advances the clock; timers that become due fire at their own times.
    std::vector<Action> advance(Micros duration);

    DecisionEngine engine;
    Micros now = engine_start;
    std::vector<Action> actions;                        // all, since the start
    std::multimap<Micros, std::uint64_t> timer_tokens;  // by the time at which they are due
};

// Lets 30 requests without a quota succeed with a duration of 700 ms each, which the engine detects
// as overload.
void drive_into_overload(EngineHarness& harness);

}  // namespace silverreach::decision_tests
