// State that the parts of the decision engine share while one event is handled: the settings, the
// time of the event, the list of actions, the stall detector and the traffic statistics.
#pragma once

#include <algorithm>
#include <utility>
#include <vector>

#include "decisions/stall_detector.h"
#include "decisions/timer_token.h"
#include "silverreach/interface.h"

namespace silverreach {

// Running means over this instance's recent traffic.
struct TrafficStatistics {
    static constexpr double sample_weight = 0.05;  // of one sample in each mean

    double mean_response_s = 0;  // from sending an attempt to its success; 0: no success yet
    double mean_units = 1;       // cost of an attempt in units

    void add_response(double response_s) {
        const double weight = mean_response_s > 0 ? sample_weight : 1;
        mean_response_s += weight * (response_s - mean_response_s);
    }
    void add_attempt(double units) { mean_units += sample_weight * (units - mean_units); }
    // Half of the response time is independent of the request; the other half is proportional to
    // its units.
    double expected_response_s(double units) const {
        return mean_response_s * (1 + units / std::max(mean_units, 1e-3)) / 2;
    }
};

// Owned by the engine; its parts hold references. Used by one thread like the engine.
class DecisionContext {
  public:
    DecisionContext(Settings engine_settings, Micros start_time)
        : settings(std::move(engine_settings)), started_at(start_time) {}

    // Begins the handling of an event at clock time `event_time`. `output` must outlive the
    // handling; emit() appends actions to it.
    void begin_event(Micros event_time, std::vector<Action>& output) {
        now = event_time;
        actions_ = &output;
    }
    // `action`: one of the types of Action.
    template <typename SpecificAction>
    void emit(SpecificAction&& action) {
        actions_->emplace_back(std::forward<SpecificAction>(action));
    }
    // Starts a timer that yields TimerFired after `delay`, or after 1 us if `delay` is shorter.
    void start_timer(Micros delay, TimerKind kind, std::uint64_t subject) {
        emit(SetTimer{std::max(delay, Micros{1}), encode_timer_token(kind, subject)});
    }

    const Settings settings;
    const Micros started_at;  // clock time at which this instance started
    Micros now{0};            // clock time of the event that is being handled
    StallDetector stall_detector;
    TrafficStatistics traffic;

  private:
    std::vector<Action>* actions_ = nullptr;
};

}  // namespace silverreach
