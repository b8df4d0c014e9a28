// Signals of the process, as callbacks on the loop.
#pragma once

#include <functional>

#include "event/loop.h"

namespace silverreach::event {

// Handles one signal while it lives, and restores the default action when it is destroyed. The
// handler sets a flag and wakes the loop; each turn reads the flags, so that none is missed where
// the wake-up fails. One object for a signal at a time, and one loop for all of them, on whose
// thread they are created and destroyed.
class Signal {
  public:
    Signal(Loop& loop, int number, std::function<void()> on_signal);
    ~Signal();
    Signal(const Signal&) = delete;
    Signal& operator=(const Signal&) = delete;

  private:
    int number_;
};

}  // namespace silverreach::event
