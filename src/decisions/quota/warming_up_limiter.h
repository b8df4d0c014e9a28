// Rate limiter of one customer at this instance that starts slow: Guava's SmoothWarmingUp.
//
// States: not started (no refill yet); warming up (stored units above the threshold, each costs
// more than the stable interval); warm. The caller that takes units never pays for them itself:
// its cost delays the next one.
#pragma once

#include "silverreach/interface.h"

namespace silverreach {

// Not thread-safe. All calls use the clock of the engine's events.
class WarmingUpLimiter {
  public:
    // Stores the units of the idle time since next_free(); the first call fills the store, which
    // makes the limiter cold.
    // `stable_s`: seconds for each unit once warm, above 0. `warmup_s`: seconds of warming up,
    // above 0.
    void refill(Micros now, double stable_s, double warmup_s);
    // Takes `units` and moves next_free() by their cost. Call refill() in the same event before.
    void reserve(double units, double stable_s, double warmup_s);
    // Clock time from which on the next units may be taken.
    Micros next_free() const { return next_free_; }

  private:
    bool started() const { return stored_units_ >= 0; }

    double stored_units_ = -1;
    Micros next_free_{0};
};

}  // namespace silverreach
