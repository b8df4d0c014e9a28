// Detects overload of the endpoints as a whole by the share of slow responses and rejections.
//
// States: recovered and overloaded. The share that ends an overload is lower than the share that
// begins it.
#pragma once

#include "decisions/load_balancing/attempt_assessment.h"

namespace silverreach {

class OverloadDetector {
  public:
    bool overloaded() const { return overloaded_; }
    // True while few responses are slow, so that excess requests can be admitted.
    bool has_spare_capacity() const { return !overloaded_ && slow_share_ < spare_capacity_below; }
    void on_outcome(const AttemptAssessment& assessment) {
        if (!assessment.success && !assessment.overload_sign) return;
        const double sample = assessment.slow ? 1 : 0;
        slow_share_ += sample_weight * (sample - slow_share_);
        overloaded_ = slow_share_ > (overloaded_ ? recovered_at : overloaded_above);
    }

  private:
    // Thresholds of the slow share.
    static constexpr double overloaded_above = 0.25;
    static constexpr double recovered_at = 0.20;
    static constexpr double spare_capacity_below = 0.08;
    static constexpr double sample_weight = 0.04;  // the share averages about 25 outcomes

    double slow_share_ = 0;
    bool overloaded_ = false;
};

}  // namespace silverreach
