// Signals as calls on the loop. A handler notes the signal and wakes the loop; each turn looks at
// the notes, so that none is missed where the waking fails. One object for a signal at a time, and
// one loop for all of them.
#pragma once

#include <functional>
#include <memory>

#include "event/loop.h"

namespace silverreach::event {

class Signal {
  public:
    Signal(Loop& loop, int number, std::function<void()> call);
    ~Signal();
    Signal(const Signal&) = delete;
    Signal& operator=(const Signal&) = delete;

  private:
    int number_;
};

}  // namespace silverreach::event
