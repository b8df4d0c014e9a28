// The rules of a request: each reason for which an attempt may not begin, or not go out any more.
#include "decisions/rules.h"

#include <gtest/gtest.h>

using namespace silverreach;
using namespace silverreach::rules;
using namespace std::chrono_literals;

namespace {
enum { safe = 0, keyed = 1, unsafe = 2 };

Settings settings() {
    Settings s;
    s.classes = {{"safe", Effect::safe, RepeatScope::all, 400ms, 2s, 0us, 1, 0},
                 {"keyed", Effect::keyed, RepeatScope::cell, 400ms, 2s, 1200ms, 1, 0},
                 {"unsafe", Effect::unsafe, RepeatScope::all, 400ms, 2s, 0us, 1, 0}};
    s.max_attempts = 3;
    return s;
}
HostEntry host(const std::string& name, std::int64_t cell, HostState state = HostState::up) {
    HostEntry entry;
    entry.host = name;
    entry.cell = cell;
    entry.state = state;
    return entry;
}
struct World {
    Rules rules{settings()};
    RequestFacts request;
    explicit World(int request_class) {
        rules.hosts_changed(
            {true, {host("a", 1), host("b", 1), host("c", 2), host("d", 1, HostState::draining)}});
        request.request_class = request_class;
        request.deadline = 2s;
    }
    void attempt(const std::string& at, Micros now, bool handed_over, bool ended, bool never_ran) {
        AttemptFacts facts = rules.attempt_at(at, now);
        if (handed_over) facts.handed_over_at = now;
        facts.ended = ended;
        facts.never_ran = never_ran;
        request.attempts.push_back(facts);
    }
};
}  // namespace

TEST(RequestRules, AnOpenRequestMayBeginAtAReadyHostOnly) {
    World w(unsafe);
    EXPECT_EQ(w.rules.may_begin(1s, w.request, "a"), std::nullopt);
    EXPECT_EQ(w.rules.may_begin(2s, w.request, "a"), Reason::time_over);
    EXPECT_EQ(w.rules.may_begin(1s, w.request, "d"), Reason::host_not_ready);
    EXPECT_EQ(w.rules.may_begin(1s, w.request, "unknown"), Reason::host_not_ready);
    w.request.client_gone = true;
    EXPECT_EQ(w.rules.may_begin(1s, w.request, "a"), Reason::client_gone);
    w.request.answered = true;
    EXPECT_EQ(w.rules.may_begin(1s, w.request, "a"), Reason::answered);
}

TEST(RequestRules, WhatMayHaveRunIsRepeatedOnlyWhereThatIsDropped) {
    World u(unsafe);
    u.attempt("a", 100ms, true, true, true);
    EXPECT_EQ(u.rules.may_begin(200ms, u.request, "b"), std::nullopt) << "it surely never ran";
    u.attempt("b", 200ms, true, true, false);
    EXPECT_EQ(u.rules.may_begin(300ms, u.request, "a"), Reason::may_have_run);
    World k(keyed);
    k.attempt("a", 100ms, true, true, false);
    EXPECT_EQ(k.rules.may_begin(200ms, k.request, "b"), std::nullopt);
    EXPECT_EQ(k.rules.may_begin(200ms, k.request, "c"), Reason::outside_group);
    EXPECT_EQ(k.rules.may_begin(1149ms, k.request, "b"), std::nullopt);
    EXPECT_EQ(k.rules.may_begin(1150ms, k.request, "b"), Reason::window_over) << "less the longest hold-up";
}

TEST(RequestRules, OneAtATimeAndNoMoreThanAllowed) {
    World w(safe);
    w.attempt("a", 100ms, true, false, false);
    EXPECT_EQ(w.rules.may_begin(200ms, w.request, "b"), Reason::second_out);
    w.request.attempts[0].ended = true;
    EXPECT_EQ(w.rules.may_begin(200ms, w.request, "b"), std::nullopt);
    w.attempt("b", 200ms, true, true, false);
    w.attempt("a", 300ms, true, true, false);
    EXPECT_EQ(w.rules.may_begin(400ms, w.request, "b"), Reason::attempts_spent);
}

TEST(RequestRules, AreAskedAgainWhenBytesGoOut) {
    World w(keyed);
    w.attempt("a", 100ms, true, true, false);
    w.attempt("b", 200ms, false, false, false);
    EXPECT_EQ(w.rules.may_hand_over(300ms, w.request, 1), std::nullopt);
    EXPECT_EQ(w.rules.may_hand_over(1400ms, w.request, 1), Reason::window_over);
    EXPECT_EQ(w.rules.may_hand_over(2s, w.request, 1), Reason::time_over);
    w.rules.hosts_changed({false, {host("b", 1, HostState::draining)}});
    EXPECT_EQ(w.rules.may_hand_over(300ms, w.request, 1), Reason::host_not_ready);
    w.rules.hosts_changed({false, {host("b", 1, HostState::gone)}});
    EXPECT_EQ(w.rules.may_hand_over(300ms, w.request, 1), Reason::host_not_ready);
}

TEST(RequestRules, AConnectionWithRequestsInHandIsNotClosed) {
    EXPECT_EQ(Rules::may_close({0, false}), std::nullopt);
    EXPECT_EQ(Rules::may_close({1, true}), std::nullopt);
    EXPECT_EQ(Rules::may_close({1, false}), Reason::requests_in_hand);
}
