#include "frontend/resp/frontend_context.h"

#include "decisions/retry/attempt_rules.h"

namespace silverreach::frontend::resp {

void FrontendContext::report_close(const ConnectionClose& close) {
    ++counters.closes[static_cast<std::size_t>(close.reason)];
    const rules::ConnectionRecord record{close.requests_in_flight,
                                         close.reason == CloseReason::client_ended};
    if (rules::AttemptRules::check_close(record)) ++counters.closed_with_requests;
    if (on_close) on_close(close);
}

}  // namespace silverreach::frontend::resp
