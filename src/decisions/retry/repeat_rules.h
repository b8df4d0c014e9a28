// Rules on repeating a request of which an attempt may have run. The engine applies them when it
// chooses an endpoint, AttemptRules when an attempt starts and before its bytes are sent.
#pragma once

#include <optional>

#include "decisions/retry/block_reason.h"
#include "decisions/retry/deduplication.h"
#include "silverreach/interface.h"

namespace silverreach {

// Whether the outcome proves that the endpoint did not execute the request.
inline bool proves_not_run(Outcome outcome) {
    return outcome == Outcome::rejected || outcome == Outcome::connect_failed ||
           outcome == Outcome::not_started;
}

// Returns why the request must not be repeated at any endpoint after an attempt that was sent at
// `earlier_sent_at` and may have run; no value if it may be repeated.
std::optional<rules::BlockReason> check_repeat(const RequestClass& request_class,
                                               Micros earlier_sent_at, Micros now);
// The same for a repeat at the endpoint at `next`, after the earlier attempt at `earlier`.
std::optional<rules::BlockReason> check_repeat_at(const RequestClass& request_class,
                                                  Micros earlier_sent_at,
                                                  const EndpointLocation& earlier,
                                                  const EndpointLocation& next, Micros now);

// Whether a retry by the client is safe. If it is, the request may be rejected, which allows the
// client to retry; otherwise it has to fail.
bool client_may_repeat(const RequestClass& request_class, bool may_have_run,
                       bool attempt_in_flight);

}  // namespace silverreach
