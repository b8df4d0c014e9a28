// Slows down a connection that keeps sending commands that make no sense.
#pragma once

#include "event/loop.h"

namespace silverreach::frontend::resp {

using event::Micros;

// Counts the invalid commands in a row: a connection that also carries valid ones, of a client with
// many users behind it, is not slowed down.
class InvalidCommandThrottle {
  public:
    // Returns the pause before the next command is to be read; 0: none.
    Micros on_invalid();
    void on_valid() { consecutive_ = 0; }

  private:
    int consecutive_ = 0;
};

}  // namespace silverreach::frontend::resp
