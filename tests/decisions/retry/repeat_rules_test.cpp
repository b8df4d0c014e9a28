#include "decisions/retry/repeat_rules.h"

#include <gtest/gtest.h>

#include <optional>

using namespace silverreach;
using namespace std::chrono_literals;
using rules::BlockReason;

namespace {
constexpr Micros window = 1s;
constexpr Micros sent_at = 10s;

RequestClass class_with(Idempotency idempotency, DeduplicationScope scope) {
    RequestClass request_class;
    request_class.idempotency = idempotency;
    request_class.deduplication_scope = scope;
    request_class.deduplication_window = window;
    return request_class;
}
}  // namespace

TEST(RepeatRules, KeyedRequestMayBeRepeatedWithinItsWindow) {
    const RequestClass keyed = class_with(Idempotency::idempotency_key, DeduplicationScope::all);
    const Micros last_repeat = sent_at + window - max_process_pause;
    EXPECT_EQ(check_repeat(keyed, sent_at, last_repeat - 1us), std::nullopt);
    EXPECT_EQ(check_repeat(keyed, sent_at, last_repeat), BlockReason::deduplication_window_closed);
}

TEST(RepeatRules, KeyedRequestStaysInItsScope) {
    const EndpointLocation earlier{.zone = "z1", .cell = 1};
    const EndpointLocation same_zone{.zone = "z1", .cell = 2};
    const EndpointLocation same_cell{.zone = "z2", .cell = 1};
    const auto check = [&](DeduplicationScope scope, const EndpointLocation& next) {
        return check_repeat_at(class_with(Idempotency::idempotency_key, scope), sent_at, earlier,
                               next, sent_at);
    };
    EXPECT_EQ(check(DeduplicationScope::all, same_zone), std::nullopt);
    EXPECT_EQ(check(DeduplicationScope::zone, same_zone), std::nullopt);
    EXPECT_EQ(check(DeduplicationScope::cell, same_cell), std::nullopt);
    EXPECT_EQ(check(DeduplicationScope::zone, same_cell), BlockReason::outside_deduplication_scope);
    EXPECT_EQ(check(DeduplicationScope::cell, same_zone), BlockReason::outside_deduplication_scope);
}

TEST(RepeatRules, OtherClassesDoNotDependOnTheWindow) {
    const Micros long_after = sent_at + 10 * window;
    EXPECT_EQ(check_repeat(class_with(Idempotency::idempotent, DeduplicationScope::cell), sent_at,
                           long_after),
              std::nullopt);
    EXPECT_EQ(check_repeat(class_with(Idempotency::non_idempotent, DeduplicationScope::all),
                           sent_at, sent_at),
              BlockReason::may_have_run);
}
