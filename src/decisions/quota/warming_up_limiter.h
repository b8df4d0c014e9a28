// Rate limiter of one customer at this instance that starts at a reduced rate, as Guava's
// SmoothWarmingUp.
//
// It has three states: not started (before the first refill); warming up (the stored units are
// above the threshold, and each unit above it takes longer than the stable interval); warm. The
// cost of a reservation delays the next caller, not the one that makes the reservation.
#pragma once

#include "silverreach/interface.h"

namespace silverreach {

// Not thread-safe. All calls use the clock of the engine's events.
class WarmingUpLimiter {
  public:
    // Adds the units for the idle time since next_free() to the store. The first call fills the
    // store, which makes the limiter cold. `stable_s` is the interval between units of a warm
    // limiter, and `warmup_s` the warm-up time, both in seconds and above 0.
    void refill(Micros now, double stable_s, double warmup_s);
    // Takes `units` and delays next_free() by their cost. Call refill() earlier in the same event.
    void reserve(double units, double stable_s, double warmup_s);
    // Earliest clock time at which the next units may be taken.
    Micros next_free() const { return next_free_; }

  private:
    bool is_started() const { return stored_units_ >= 0; }

    double stored_units_ = -1;
    Micros next_free_{0};
};

}  // namespace silverreach
