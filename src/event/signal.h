// Delivers signals of the process as callbacks on the loop's thread.
#pragma once

#include <functional>

#include "event/loop.h"

namespace silverreach::event {

// Handles one signal during its lifetime; its destructor restores the default action. The signal
// handler sets a flag and wakes the loop. Each turn reads the flags, so that no signal is missed if
// the wake-up fails. At most one object per signal exists at a time, and all of them use one loop,
// on whose thread they are created and destroyed.
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
