// The reasons for which an attempt must not start or must not be sent.
#include "decisions/retry/attempt_rules.h"

#include <gtest/gtest.h>

#include <cstdint>
#include <optional>
#include <string>

using namespace silverreach;
using namespace silverreach::rules;
using namespace std::chrono_literals;

namespace {
enum {
    idempotent = 0,
    keyed = 1,
    non_idempotent = 2
};

Settings settings_with_three_classes() {
    Settings settings;
    settings.classes = {
        {"idempotent", Idempotency::idempotent, DeduplicationScope::all, 400ms, 2s, 0us, 1, 0},
        {"keyed", Idempotency::idempotency_key, DeduplicationScope::cell, 400ms, 2s, 1200ms, 1, 0},
        {"non_idempotent", Idempotency::non_idempotent, DeduplicationScope::all, 400ms, 2s, 0us, 1,
         0}};
    settings.max_attempts = 3;
    return settings;
}
EndpointEntry make_endpoint(const std::string& id, std::int64_t cell,
                            EndpointStatus status = EndpointStatus::available) {
    EndpointEntry entry;
    entry.id = id;
    entry.cell = cell;
    entry.status = status;
    return entry;
}
struct RulesFixture {
    AttemptRules rules{settings_with_three_classes()};
    RequestRecord request;
    explicit RulesFixture(int request_class) {
        rules.on_endpoints_changed(
            {true,
             {make_endpoint("a", 1), make_endpoint("b", 1), make_endpoint("c", 2),
              make_endpoint("d", 1, EndpointStatus::draining)}});
        request.request_class = request_class;
        request.deadline = 2s;
    }
    void add_attempt(const std::string& endpoint, Micros now, bool sent, bool ended,
                     bool never_ran) {
        AttemptRecord record = rules.make_attempt(endpoint, now);
        if (sent) record.sent_at = now;
        record.ended = ended;
        record.never_ran = never_ran;
        request.attempts.push_back(record);
    }
};
}  // namespace

TEST(AttemptRules, OpenRequestStartsAtAvailableEndpointOnly) {
    RulesFixture fixture(non_idempotent);
    EXPECT_EQ(fixture.rules.check_start(1s, fixture.request, "a"), std::nullopt);
    EXPECT_EQ(fixture.rules.check_start(2s, fixture.request, "a"), BlockReason::deadline_exceeded);
    EXPECT_EQ(fixture.rules.check_start(1s, fixture.request, "d"),
              BlockReason::endpoint_unavailable);
    EXPECT_EQ(fixture.rules.check_start(1s, fixture.request, "unknown"),
              BlockReason::endpoint_unavailable);
    fixture.request.client_disconnected = true;
    EXPECT_EQ(fixture.rules.check_start(1s, fixture.request, "a"),
              BlockReason::client_disconnected);
    fixture.request.answered = true;
    EXPECT_EQ(fixture.rules.check_start(1s, fixture.request, "a"), BlockReason::answered);
}

TEST(AttemptRules, RequestThatMayHaveRunIsRetriedOnlyWhereDeduplicated) {
    RulesFixture not_repeatable(non_idempotent);
    not_repeatable.add_attempt("a", 100ms, true, true, true);
    EXPECT_EQ(not_repeatable.rules.check_start(200ms, not_repeatable.request, "b"), std::nullopt)
        << "the earlier attempt did not run";
    not_repeatable.add_attempt("b", 200ms, true, true, false);
    EXPECT_EQ(not_repeatable.rules.check_start(300ms, not_repeatable.request, "a"),
              BlockReason::may_have_run);
    RulesFixture repeatable(keyed);
    repeatable.add_attempt("a", 100ms, true, true, false);
    EXPECT_EQ(repeatable.rules.check_start(200ms, repeatable.request, "b"), std::nullopt);
    EXPECT_EQ(repeatable.rules.check_start(200ms, repeatable.request, "c"),
              BlockReason::outside_deduplication_scope);
    EXPECT_EQ(repeatable.rules.check_start(1149ms, repeatable.request, "b"), std::nullopt);
    EXPECT_EQ(repeatable.rules.check_start(1150ms, repeatable.request, "b"),
              BlockReason::deduplication_window_closed)
        << "the window is shortened by the longest process pause";
}

TEST(AttemptRules, OneAttemptInFlightAndAtMostMaxAttempts) {
    RulesFixture fixture(idempotent);
    fixture.add_attempt("a", 100ms, true, false, false);
    EXPECT_EQ(fixture.rules.check_start(200ms, fixture.request, "b"),
              BlockReason::attempt_in_flight);
    fixture.request.attempts[0].ended = true;
    EXPECT_EQ(fixture.rules.check_start(200ms, fixture.request, "b"), std::nullopt);
    fixture.add_attempt("b", 200ms, true, true, false);
    fixture.add_attempt("a", 300ms, true, true, false);
    EXPECT_EQ(fixture.rules.check_start(400ms, fixture.request, "b"),
              BlockReason::max_attempts_reached);
}

TEST(AttemptRules, AreCheckedAgainBeforeBytesAreSent) {
    RulesFixture fixture(keyed);
    fixture.add_attempt("a", 100ms, true, true, false);
    fixture.add_attempt("b", 200ms, false, false, false);
    EXPECT_EQ(fixture.rules.check_send(300ms, fixture.request, 1), std::nullopt);
    EXPECT_EQ(fixture.rules.check_send(1400ms, fixture.request, 1),
              BlockReason::deduplication_window_closed);
    EXPECT_EQ(fixture.rules.check_send(2s, fixture.request, 1), BlockReason::deadline_exceeded);
    fixture.rules.on_endpoints_changed({false, {make_endpoint("b", 1, EndpointStatus::draining)}});
    EXPECT_EQ(fixture.rules.check_send(300ms, fixture.request, 1),
              BlockReason::endpoint_unavailable);
    fixture.rules.on_endpoints_changed({false, {make_endpoint("b", 1, EndpointStatus::removed)}});
    EXPECT_EQ(fixture.rules.check_send(300ms, fixture.request, 1),
              BlockReason::endpoint_unavailable);
}

TEST(AttemptRules, ConnectionWithPendingRequestsIsNotClosed) {
    EXPECT_EQ(AttemptRules::check_close({0, false}), std::nullopt);
    EXPECT_EQ(AttemptRules::check_close({1, true}), std::nullopt);
    EXPECT_EQ(AttemptRules::check_close({1, false}), BlockReason::requests_pending);
}
