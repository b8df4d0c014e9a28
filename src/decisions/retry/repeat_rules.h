// When a request of which an attempt may have run may be sent again. The engine asks these rules
// when it chooses an attempt, AttemptRules again when its bytes are to go out.
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

// Why the request may not be repeated at any endpoint after an attempt that may have run, sent at
// `earlier_sent_at`; nothing: it may.
std::optional<rules::BlockReason> check_repeat(const RequestClass& request_class,
                                               Micros earlier_sent_at, Micros now);
// The same for a repeat at the endpoint at `next` where the earlier attempt was at `earlier`.
std::optional<rules::BlockReason> check_repeat_at(const RequestClass& request_class,
                                                  Micros earlier_sent_at,
                                                  const EndpointLocation& earlier,
                                                  const EndpointLocation& next, Micros now);

// Whether a repeat by the client does no harm, so that the request may be rejected, which invites
// one, and need not fail.
bool client_may_repeat(const RequestClass& request_class, bool may_have_run,
                       bool attempt_in_flight);

}  // namespace silverreach
