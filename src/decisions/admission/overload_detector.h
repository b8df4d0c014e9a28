// Detects overload of all endpoints together by the share of slow responses and rejections.
//
// States: recovered and overloaded. The share that ends an overload is lower than the share that
// begins it.
#pragma once

#include "decisions/load_balancing/attempt_assessment.h"

namespace silverreach {

class OverloadDetector {
  public:
    bool is_overloaded() const { return is_overloaded_; }
    // True while few responses are slow, so that excess requests can be admitted.
    bool has_spare_capacity() const {
        return !is_overloaded_ && slow_share_ < spare_capacity_threshold;
    }
    void on_outcome(const AttemptAssessment& assessment) {
        if (!assessment.is_success && !assessment.is_overload_sign) return;
        const double sample = assessment.is_slow ? 1 : 0;
        slow_share_ += sample_weight * (sample - slow_share_);
        is_overloaded_ = slow_share_ > (is_overloaded_ ? recovery_threshold : overload_threshold);
    }

  private:
    // Thresholds of the slow share.
    static constexpr double overload_threshold = 0.25;
    static constexpr double recovery_threshold = 0.20;
    static constexpr double spare_capacity_threshold = 0.08;
    static constexpr double sample_weight = 0.04;  // the share averages about 25 outcomes

    double slow_share_ = 0;
    bool is_overloaded_ = false;
};

}  // namespace silverreach
