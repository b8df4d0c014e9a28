// Outlier detection. An endpoint is healthy or ejected; an ejection ends by its time, and doubles
// with each further one until an attempt succeeds. A healthy endpoint may be avoided for one kind
// of request only.
#pragma once

#include "decisions/decision_context.h"
#include "decisions/load_balancing/attempt_assessment.h"
#include "decisions/load_balancing/endpoint.h"

namespace silverreach {

class OutlierDetector {
  public:
    explicit OutlierDetector(const DecisionContext& context) : context_(context) {}

    bool is_ejected(const Endpoint& endpoint) const {
        return context_.now < endpoint.ejected_until;
    }
    // True for kinds of request that the endpoint rejected lately.
    bool avoids_kind(const Endpoint& endpoint, int kind) const {
        const auto it = endpoint.rejected_kinds_until.find(kind);
        return it != endpoint.rejected_kinds_until.end() && context_.now < it->second;
    }
    // True for request classes that the endpoint lately left unanswered.
    bool avoids_class(const Endpoint& endpoint, int request_class) const {
        const auto it = endpoint.unanswered_classes.find(request_class);
        return it != endpoint.unanswered_classes.end() && context_.now < it->second.avoided_until;
    }

    void on_outcome(Endpoint& endpoint, Outcome outcome, const AttemptAssessment& assessment) const;
    // A health check failed: no attempt goes to the endpoint for a moment.
    void on_health_check_failed(Endpoint& endpoint) const;
    // Nothing came from the endpoint for too long.
    void eject(Endpoint& endpoint) const;
    void on_rejected(Endpoint& endpoint, int kind) const;
    static void on_success(Endpoint& endpoint, int request_class);
    // An attempt of this class is far overdue while the endpoint responds to others.
    void on_class_overdue(Endpoint& endpoint, int request_class) const;

  private:
    void add_failures(Endpoint& endpoint, int count) const;

    const DecisionContext& context_;
};

}  // namespace silverreach
