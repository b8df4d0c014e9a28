// Limits retries to a share of the first attempts, so that they cannot amplify an overload.
#pragma once

#include "decisions/decaying_counter.h"
#include "silverreach/interface.h"

namespace silverreach {

class RetryBudget {
  public:
    void on_first_attempt(Micros now);
    // Spends one retry; returns false if the budget does not allow it.
    bool try_spend(Micros now);

  private:
    DecayingCounter first_attempts_;
    DecayingCounter retries_;
};

}  // namespace silverreach
