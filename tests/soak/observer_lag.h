// Measures how late the soak test's own loop runs, by a probe that is due in a fixed period. What
// the test saw may have happened that much earlier. No I/O, no clock.
//
// After a stall the loop reads sockets before it runs timers, so the probe that is overdue counts
// as well: its timer has not run yet when the test handles what arrived during the stall.
#pragma once

#include <algorithm>
#include <chrono>
#include <deque>
#include <utility>

namespace soak {
using Micros = std::chrono::microseconds;

class ObserverLag {
  public:
    ObserverLag(Micros period, Micros window) : period_(period), window_(window) {}

    // The probe runs. The next one is due one period later.
    void on_probe(Micros now) {
        if (due_at_ > Micros{0}) samples_.emplace_back(now, overdue(now));
        while (!samples_.empty() && samples_.front().first < now - window_)
            samples_.pop_front();
        due_at_ = now + period_;
    }
    // Returns the longest lag of the window before `now`.
    Micros longest(Micros now) const {
        Micros lag = due_at_ > Micros{0} ? overdue(now) : Micros{0};
        for (const auto& [sampled_at, sample] : samples_)
            lag = std::max(lag, sample);
        return lag;
    }

  private:
    Micros overdue(Micros now) const { return std::max(Micros{0}, now - due_at_); }

    const Micros period_;
    const Micros window_;
    Micros due_at_{0};                               // 0: no probe has run
    std::deque<std::pair<Micros, Micros>> samples_;  // time and lag of the probes in the window
};

}  // namespace soak
