// Admission control: decides by quota and overload whether a request is admitted.
//
// A request within its quota is admitted, at a paced rate while the endpoints are overloaded. A
// request beyond its quota is rejected, or admitted as excess if its plan gives excess requests
// more weight than cost and there is spare capacity.
#pragma once

#include <optional>

#include "decisions/admission/admission_queue.h"
#include "decisions/admission/overload_detector.h"
#include "decisions/decision_context.h"
#include "decisions/quota/quota_manager.h"
#include "decisions/request_state.h"

namespace silverreach {

enum class QuotaStatus {
    covered,      // the request is within its quota
    needs_lease,  // the request has to wait for a lease
    exhausted     // the request is beyond its quota and does not wait for a lease
};
struct Rejection {
    RejectReason reason = RejectReason::quota_exhausted;
    Micros retry_after{0};  // before the limit of Settings::max_retry_after
};
struct QuotaDecision {
    QuotaStatus status = QuotaStatus::covered;
    Rejection rejection;  // valid if the quota is exhausted
};

struct Pacing {
    Micros delay{0};           // until the request may be sent
    bool is_too_late = false;  // the delay exceeds the latest start; nothing is reserved
};

class AdmissionControl {
  public:
    AdmissionControl(const DecisionContext& context, QuotaManager& quota,
                     const OverloadDetector& overload_detector, const AdmissionQueue& queue)
        : context_(context), quota_(quota), overload_detector_(overload_detector), queue_(queue) {}

    // The latest time at which an attempt is expected to meet the latency objective and the
    // client's deadline.
    Micros latest_start(const RequestArrived& arrival) const;
    QuotaDecision check_quota(const RequestState& request) const;
    // For a request beyond its quota: no value if it is admitted as excess, else the rejection.
    std::optional<Rejection> check_excess(const RequestState& request,
                                          const Rejection& shortage) const;
    // Applies the customer's warming-up limiter while the endpoints are overloaded.
    Pacing pace(const RequestState& request);

  private:
    bool exceeds_concurrency_quota(const CustomerQuota& customer, const Plan& plan) const;

    const DecisionContext& context_;
    QuotaManager& quota_;
    const OverloadDetector& overload_detector_;
    const AdmissionQueue& queue_;
};

}  // namespace silverreach
