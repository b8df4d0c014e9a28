// The drain state of a front end.
#pragma once

#include "event/loop.h"

namespace silverreach::frontend {

using event::Micros;

// States: serving -> draining. Used on the loop's thread; times are on the loop's clock.
class DrainManager {
  public:
    // From now on, a connection closes once its pending responses are sent. Requests that are
    // received before `deadline` are still answered.
    void start(Micros deadline) {
        draining_ = true;
        deadline_ = deadline;
    }
    bool is_draining() const { return draining_; }
    // Returns the time until the deadline, negative after it; Micros::max() while serving.
    Micros time_remaining(Micros now) const { return draining_ ? deadline_ - now : Micros::max(); }

  private:
    bool draining_ = false;
    Micros deadline_{0};
};

}  // namespace silverreach::frontend
