// Detects that this process itself was held up: its heartbeat timer came far too late. In the
// backlog found then, the own delay looks like unresponsive endpoints and slow responses, so
// nothing is judged by it.
#pragma once

#include <chrono>

#include "silverreach/interface.h"

namespace silverreach {

class StallDetector {
  public:
    static constexpr Micros heartbeat_period{100'000};
    static constexpr Micros stall_threshold{300'000};  // without a heartbeat

    bool started() const { return last_heartbeat_ > Micros{0}; }
    // True while the heartbeat is overdue, and at the very time at which a late one came.
    bool stalled(Micros now) const {
        return now == stalled_at_ || now - last_heartbeat_ > stall_threshold;
    }
    // Called when the heartbeat timer fires.
    void on_heartbeat(Micros now) {
        if (started() && stalled(now)) stalled_at_ = now;
        last_heartbeat_ = now;
    }

  private:
    Micros last_heartbeat_{0};
    Micros stalled_at_{0};
};

}  // namespace silverreach
