// The rules of a request: each reason for which an attempt may not begin, or not go out any more.
#include "decisions/retry/attempt_rules.h"

#include <gtest/gtest.h>

using namespace silverreach;
using namespace silverreach::rules;
using namespace std::chrono_literals;

namespace {
enum {
    safe = 0,
    keyed = 1,
    unsafe = 2
};

Settings settings() {
    Settings s;
    s.classes = {
        {"safe", Idempotency::idempotent, DeduplicationScope::all, 400ms, 2s, 0us, 1, 0},
        {"keyed", Idempotency::idempotency_key, DeduplicationScope::cell, 400ms, 2s, 1200ms, 1, 0},
        {"unsafe", Idempotency::non_idempotent, DeduplicationScope::all, 400ms, 2s, 0us, 1, 0}};
    s.max_attempts = 3;
    return s;
}
EndpointEntry host(const std::string& name, std::int64_t cell,
                   EndpointStatus state = EndpointStatus::available) {
    EndpointEntry entry;
    entry.id = name;
    entry.cell = cell;
    entry.status = state;
    return entry;
}
struct World {
    AttemptRules rules{settings()};
    RequestRecord request;
    explicit World(int request_class) {
        rules.on_endpoints_changed(
            {true,
             {host("a", 1), host("b", 1), host("c", 2), host("d", 1, EndpointStatus::draining)}});
        request.request_class = request_class;
        request.deadline = 2s;
    }
    void attempt(const std::string& at, Micros now, bool handed_over, bool ended, bool never_ran) {
        AttemptRecord facts = rules.make_attempt(at, now);
        if (handed_over) facts.sent_at = now;
        facts.ended = ended;
        facts.never_ran = never_ran;
        request.attempts.push_back(facts);
    }
};
}  // namespace

TEST(RequestRules, AnOpenRequestMayBeginAtAReadyHostOnly) {
    World w(unsafe);
    EXPECT_EQ(w.rules.check_start(1s, w.request, "a"), std::nullopt);
    EXPECT_EQ(w.rules.check_start(2s, w.request, "a"), BlockReason::deadline_exceeded);
    EXPECT_EQ(w.rules.check_start(1s, w.request, "d"), BlockReason::endpoint_unavailable);
    EXPECT_EQ(w.rules.check_start(1s, w.request, "unknown"), BlockReason::endpoint_unavailable);
    w.request.client_disconnected = true;
    EXPECT_EQ(w.rules.check_start(1s, w.request, "a"), BlockReason::client_disconnected);
    w.request.answered = true;
    EXPECT_EQ(w.rules.check_start(1s, w.request, "a"), BlockReason::answered);
}

TEST(RequestRules, WhatMayHaveRunIsRepeatedOnlyWhereThatIsDropped) {
    World u(unsafe);
    u.attempt("a", 100ms, true, true, true);
    EXPECT_EQ(u.rules.check_start(200ms, u.request, "b"), std::nullopt) << "it surely never ran";
    u.attempt("b", 200ms, true, true, false);
    EXPECT_EQ(u.rules.check_start(300ms, u.request, "a"), BlockReason::may_have_run);
    World k(keyed);
    k.attempt("a", 100ms, true, true, false);
    EXPECT_EQ(k.rules.check_start(200ms, k.request, "b"), std::nullopt);
    EXPECT_EQ(k.rules.check_start(200ms, k.request, "c"), BlockReason::outside_deduplication_scope);
    EXPECT_EQ(k.rules.check_start(1149ms, k.request, "b"), std::nullopt);
    EXPECT_EQ(k.rules.check_start(1150ms, k.request, "b"), BlockReason::deduplication_window_closed)
        << "less the longest hold-up";
}

TEST(RequestRules, OneAtATimeAndNoMoreThanAllowed) {
    World w(safe);
    w.attempt("a", 100ms, true, false, false);
    EXPECT_EQ(w.rules.check_start(200ms, w.request, "b"), BlockReason::attempt_in_flight);
    w.request.attempts[0].ended = true;
    EXPECT_EQ(w.rules.check_start(200ms, w.request, "b"), std::nullopt);
    w.attempt("b", 200ms, true, true, false);
    w.attempt("a", 300ms, true, true, false);
    EXPECT_EQ(w.rules.check_start(400ms, w.request, "b"), BlockReason::max_attempts_reached);
}

TEST(RequestRules, AreAskedAgainWhenBytesGoOut) {
    World w(keyed);
    w.attempt("a", 100ms, true, true, false);
    w.attempt("b", 200ms, false, false, false);
    EXPECT_EQ(w.rules.check_send(300ms, w.request, 1), std::nullopt);
    EXPECT_EQ(w.rules.check_send(1400ms, w.request, 1), BlockReason::deduplication_window_closed);
    EXPECT_EQ(w.rules.check_send(2s, w.request, 1), BlockReason::deadline_exceeded);
    w.rules.on_endpoints_changed({false, {host("b", 1, EndpointStatus::draining)}});
    EXPECT_EQ(w.rules.check_send(300ms, w.request, 1), BlockReason::endpoint_unavailable);
    w.rules.on_endpoints_changed({false, {host("b", 1, EndpointStatus::removed)}});
    EXPECT_EQ(w.rules.check_send(300ms, w.request, 1), BlockReason::endpoint_unavailable);
}

TEST(RequestRules, AConnectionWithRequestsInHandIsNotClosed) {
    EXPECT_EQ(AttemptRules::check_close({0, false}), std::nullopt);
    EXPECT_EQ(AttemptRules::check_close({1, true}), std::nullopt);
    EXPECT_EQ(AttemptRules::check_close({1, false}), BlockReason::requests_pending);
}
