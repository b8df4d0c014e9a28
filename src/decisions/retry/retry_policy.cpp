#include "decisions/retry/retry_policy.h"

#include "decisions/response_speed.h"

namespace silverreach {

void RetryPolicy::on_attempt_failed(RequestState& request, Outcome outcome,
                                    const Endpoint* endpoint) const {
    if (proves_not_run(outcome) || request.may_have_run) return;
    request.may_have_run = true;
    request.first_possible_run.sent_at = request.last_sent_at;
    if (!endpoint) return;
    request.first_possible_run.zone = endpoint->entry.zone;
    request.first_possible_run.cell = endpoint->entry.cell;
}

bool RetryPolicy::may_retry(const RequestState& request) {
    if (request.attempts >= context_.settings.max_attempts || context_.now >= request.latest_start)
        return false;
    if (request.may_have_run &&
        check_repeat(class_of(request), request.first_possible_run.sent_at, context_.now))
        return false;
    // While responses are fast, a request that did not run is likely to succeed at another
    // endpoint, and its retry repeats no work.
    const bool is_exempt_from_budget =
        !request.may_have_run &&
        is_fast(context_.traffic.mean_response_s, latency_objective_s(context_.settings, request));
    return is_exempt_from_budget || budget_.try_spend(context_.now);
}

bool RetryPolicy::client_may_repeat(const RequestState& request) const {
    return silverreach::client_may_repeat(class_of(request), request.may_have_run,
                                          request.attempts_in_flight > 0);
}

}  // namespace silverreach
