// Outlier detection. An endpoint is healthy or ejected. An ejection ends after a time that doubles
// with each further ejection until an attempt succeeds. A healthy endpoint may be avoided for a
// single kind or class of request.
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
    // True for kinds of request that the endpoint rejected recently.
    bool avoids_kind(const Endpoint& endpoint, int kind) const {
        const auto it = endpoint.rejected_kinds_until.find(kind);
        return it != endpoint.rejected_kinds_until.end() && context_.now < it->second;
    }
    // True for request classes that the endpoint recently left unanswered.
    bool avoids_class(const Endpoint& endpoint, int request_class) const {
        const auto it = endpoint.unanswered_classes.find(request_class);
        return it != endpoint.unanswered_classes.end() && context_.now < it->second.avoided_until;
    }

    void on_outcome(Endpoint& endpoint, Outcome outcome, const AttemptAssessment& assessment) const;
    // Ejects the endpoint for a short time after a failed health check.
    void on_health_check_failed(Endpoint& endpoint) const;
    // Ejects an endpoint that does not respond or refuses connections.
    void eject(Endpoint& endpoint) const;
    void on_rejected(Endpoint& endpoint, int kind) const;
    static void on_success(Endpoint& endpoint, int request_class);
    // Counts an attempt of this class that is overdue while the endpoint responds to others.
    void on_class_overdue(Endpoint& endpoint, int request_class) const;

  private:
    void add_failures(Endpoint& endpoint, int count) const;

    const DecisionContext& context_;
};

}  // namespace silverreach
