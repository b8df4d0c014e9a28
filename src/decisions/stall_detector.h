// Detects stalls of this process by an overdue heartbeat timer. Events that queued up during a
// stall make endpoints look unresponsive and responses look slow, so no conclusions are drawn from
// them.
#pragma once

#include <chrono>

#include "silverreach/interface.h"

namespace silverreach {

class StallDetector {
  public:
    static constexpr Micros heartbeat_period{100'000};
    static constexpr Micros stall_threshold{300'000};  // longest time without a heartbeat

    bool has_started() const { return last_heartbeat_ > Micros{0}; }
    // True while the heartbeat is overdue, and for events at the time of a heartbeat that was
    // overdue.
    bool is_stalled(Micros now) const {
        return now == stalled_at_ || now - last_heartbeat_ > stall_threshold;
    }
    // Called when the heartbeat timer fires.
    void on_heartbeat(Micros now) {
        if (has_started() && is_stalled(now)) stalled_at_ = now;
        last_heartbeat_ = now;
    }

  private:
    Micros last_heartbeat_{0};
    Micros stalled_at_{0};
};

}  // namespace silverreach
