// Whether a front end is draining, and until when.
#pragma once

#include "event/loop.h"

namespace silverreach::frontend {

using event::Micros;

// States: serving -> draining. Used on the loop's thread; times are on the loop's clock.
class DrainManager {
  public:
    // From now on a connection ends with the responses that it is owed. What is received until
    // `deadline` is still answered.
    void start(Micros deadline) {
        draining_ = true;
        deadline_ = deadline;
    }
    bool draining() const { return draining_; }
    // Until the deadline, below zero after it; Micros::max() while serving.
    Micros time_remaining(Micros now) const { return draining_ ? deadline_ - now : Micros::max(); }

  private:
    bool draining_ = false;
    Micros deadline_{0};
};

}  // namespace silverreach::frontend
