// Slows down a connection that keeps sending invalid commands.
#pragma once

#include "event/loop.h"

namespace silverreach::frontend::resp {

using event::Micros;

// Counts consecutive invalid commands, so that a connection that also carries valid ones, such as
// that of a client with many users, is not slowed down.
class InvalidCommandThrottle {
  public:
    // Returns the pause before the next command is read; 0: none.
    Micros on_invalid();
    void on_valid() { consecutive_ = 0; }

  private:
    int consecutive_ = 0;
};

}  // namespace silverreach::frontend::resp
