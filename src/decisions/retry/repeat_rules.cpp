#include "decisions/retry/repeat_rules.h"

namespace silverreach {

using rules::BlockReason;

std::optional<BlockReason> check_repeat(const RequestClass& request_class, Micros earlier_sent_at,
                                        Micros now) {
    switch (request_class.idempotency) {
        case Idempotency::idempotent:
            return std::nullopt;
        case Idempotency::non_idempotent:
            return BlockReason::may_have_run;
        case Idempotency::idempotency_key:
            break;
    }
    if (!deduplication_window_open(request_class, earlier_sent_at, now))
        return BlockReason::deduplication_window_closed;
    return std::nullopt;
}

std::optional<BlockReason> check_repeat_at(const RequestClass& request_class,
                                           Micros earlier_sent_at, const EndpointLocation& earlier,
                                           const EndpointLocation& next, Micros now) {
    if (const auto reason = check_repeat(request_class, earlier_sent_at, now)) return reason;
    if (request_class.idempotency == Idempotency::idempotency_key &&
        !in_same_deduplication_scope(request_class.deduplication_scope, earlier, next))
        return BlockReason::outside_deduplication_scope;
    return std::nullopt;
}

bool client_may_repeat(const RequestClass& request_class, bool may_have_run,
                       bool attempt_in_flight) {
    if (request_class.idempotency == Idempotency::idempotent) return true;
    if (attempt_in_flight) return false;
    // A retry by the client may be sent to any endpoint.
    return !may_have_run || (request_class.idempotency == Idempotency::idempotency_key &&
                             request_class.deduplication_scope == DeduplicationScope::all);
}

}  // namespace silverreach
