// Quota accounting of one customer at this instance.
#pragma once

#include "decisions/quota/warming_up_limiter.h"

namespace silverreach {

// Interim shape: the members below are those that the engine uses.
class CustomerQuota {
  public:
    int attempts_in_flight = 0;
    int open_requests = 0;  // requests without their final response
    WarmingUpLimiter limiter;
};

}  // namespace silverreach
