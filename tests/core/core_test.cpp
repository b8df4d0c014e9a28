// The core alone: an outside that writes down what it is asked for, and a clock that the test
// moves.
#include "core/core.h"

#include <gtest/gtest.h>

#include <functional>
#include <map>

using namespace silverreach;
using namespace silverreach::core;
using namespace std::chrono_literals;

namespace {
Settings settings(Idempotency effect = Idempotency::idempotent) {
    Settings s;
    s.classes = {{"read", effect, DeduplicationScope::all, 400ms, 1s, 3s, 1, 0}};
    s.plans = {{"plan", 100, 100}};
    s.max_attempts = 3;
    s.may_hedge = s.may_cancel = s.may_send_retry_after = true;
    s.timer_tick = 4ms;
    return s;
}

struct World : Environment {
    Micros now = 1s;
    std::multimap<Micros, Timer> timers;
    std::vector<std::pair<AttemptKey, std::string>> sends;
    std::vector<AttemptKey> cancels, withdrawn;
    bool unsent = false;  // attempts are still waiting for their connections
    std::vector<std::pair<RequestId, FinalResponse>> finals;
    std::vector<RequestId> cuts;
    std::function<void(const AttemptKey&, const std::string&)> on_send;
    std::unique_ptr<Core> core;

    explicit World(const Settings& s) {
        core = std::make_unique<Core>(s, 0, 1, now, *this);
        core->on_endpoints_changed(now, {true, {host("a"), host("b"), host("c")}});
    }
    static EndpointEntry host(const std::string& name) {
        EndpointEntry h;
        h.id = name;
        return h;
    }
    void start_timer(Micros wait, Timer t) override { timers.emplace(now + wait, t); }
    void send_attempt(const AttemptKey& key, const std::string& to, Micros) override {
        sends.emplace_back(key, to);
        if (on_send) on_send(key, to);
    }
    void cancel_attempt(const AttemptKey& key) override { cancels.push_back(key); }
    bool withdraw_attempt(const AttemptKey& key) override {
        if (unsent) withdrawn.push_back(key);
        return unsent;
    }
    void start_health_check(const std::string&) override {}
    void send_message(int, const std::string&) override {}
    void finish_request(RequestId id, const FinalResponse& f) override {
        finals.emplace_back(id, f);
    }
    void abort_response(RequestId id) override { cuts.push_back(id); }

    RequestId take(Micros time_left = 1s) {
        const RequestId id = core->next_id();
        core->start_request(now, id, {"birds", 0, 0, 1, time_left});
        return id;
    }
    void pass(Micros span) {
        const Micros until = now + span;
        while (!timers.empty() && timers.begin()->first <= until) {
            const auto [at, timer] = *timers.begin();
            timers.erase(timers.begin());
            now = at;
            core->on_timer(now, timer);
        }
        now = until;
    }
};
}  // namespace

TEST(Core, AnswerGoesToTheClientOnceAndTheRequestIsForgotten) {
    World w(settings());
    const RequestId id = w.take();
    ASSERT_EQ(w.sends.size(), 1u);
    EXPECT_TRUE(w.core->on_response_started(w.now, w.sends[0].first, w.sends[0].second, 5ms, {}));
    EXPECT_FALSE(w.core->on_response_started(w.now, w.sends[0].first, w.sends[0].second, 5ms, {}));
    w.core->on_response_ended(w.now, id, true);
    EXPECT_EQ(w.core->in_flight(), 0u);
    w.pass(3s);
    EXPECT_TRUE(w.finals.empty());
    EXPECT_EQ(w.core->counters().served, 1u);
}

TEST(Core, OfTwoCopiesTheLaterAnswerIsDropped) {
    World w(settings());
    for (int i = 0; i < 30; ++i) {  // the module learns how fast answers are
        const RequestId id = w.take();
        const auto [key, host] = w.sends.back();
        w.pass(5ms);
        ASSERT_TRUE(w.core->on_response_started(w.now, key, host, 5ms, {}));
        w.core->on_response_ended(w.now, id, true);
    }
    w.sends.clear();
    const RequestId id = w.take();
    w.pass(300ms);
    ASSERT_GE(w.sends.size(), 2u) << "a silent host brings a second copy";
    EXPECT_EQ(w.sends[1].first.attempt, 1);
    EXPECT_TRUE(w.core->on_response_started(w.now, w.sends[1].first, w.sends[1].second, 5ms, {}));
    for (const auto& [key, host] : w.sends)
        EXPECT_FALSE(w.core->on_response_started(w.now, key, host, 300ms, {}));
    w.core->on_response_ended(w.now, id, true);
    EXPECT_EQ(w.core->in_flight(), 0u);
}

TEST(Core, SilenceEndsInOneFinalAnswerBeforeTheDeadline) {
    for (const Idempotency effect :
         {Idempotency::idempotent, Idempotency::idempotency_key, Idempotency::non_idempotent}) {
        World w(settings(effect));
        w.take();
        w.pass(999ms);
        ASSERT_EQ(w.finals.size(), 1u) << static_cast<int>(effect);
        EXPECT_EQ(w.finals[0].second.rejected, effect == Idempotency::idempotent);
        if (effect != Idempotency::idempotent) {
            EXPECT_EQ(w.finals[0].second.failure_reason, FailureReason::timed_out);
        }
        w.pass(2s);
        EXPECT_EQ(w.finals.size(), 1u);
        EXPECT_EQ(w.core->in_flight(), 0u) << "attempts end as timed out";
        EXPECT_EQ(w.cancels.size(), w.sends.size());
    }
}

TEST(Core, AnUnsafeRequestThatMayHaveRunIsNotSentAgain) {
    World w(settings(Idempotency::non_idempotent));
    w.take();
    ASSERT_EQ(w.sends.size(), 1u);
    w.core->on_attempt_ended(w.now, w.sends[0].first, w.sends[0].second, Outcome::reset, 1ms, {});
    EXPECT_EQ(w.sends.size(), 1u);
    ASSERT_EQ(w.finals.size(), 1u);
    EXPECT_FALSE(w.finals[0].second.rejected);
    EXPECT_EQ(w.finals[0].second.failure_reason, FailureReason::bad_response);
}

TEST(Core, WhatFailsAtOnceWithinASendIsQueuedNotNested) {
    World w(settings());
    w.on_send = [&](const AttemptKey& key, const std::string& host) {
        w.core->on_attempt_ended(w.now, key, host, Outcome::connect_failed, 0us, {});
    };
    w.take();
    EXPECT_GT(w.sends.size(), 1u);
    EXPECT_LE(w.sends.size(), 3u) << "no more than the settings allow";
    w.pass(1s);
    EXPECT_EQ(w.finals.size(), 1u);
    EXPECT_EQ(w.core->in_flight(), 0u);
}

TEST(Core, ABoundAnswerThatOverrunsTheDeadlineIsCut) {
    World w(settings());
    const RequestId id = w.take(300ms);
    ASSERT_TRUE(w.core->on_response_started(w.now, w.sends[0].first, w.sends[0].second, 5ms, {}));
    w.pass(299ms);
    EXPECT_TRUE(w.cuts.empty());
    w.pass(2ms);
    EXPECT_EQ(w.cuts, std::vector<RequestId>{id});
    EXPECT_EQ(w.cancels, std::vector<AttemptKey>{w.sends[0].first})
        << "the host's side ends as well";
    w.core->on_response_ended(w.now, id, true);
    EXPECT_TRUE(w.finals.empty());
    EXPECT_EQ(w.core->counters().aborted, 1u);
    EXPECT_EQ(w.core->in_flight(), 0u);
}

TEST(Core, NothingIsSentForAClientThatLeft) {
    World w(settings());
    const RequestId id = w.take();
    w.core->on_client_disconnected(w.now, id);
    w.core->on_attempt_ended(w.now, w.sends[0].first, w.sends[0].second, Outcome::rejected, 1ms,
                             {});
    w.pass(2s);
    EXPECT_EQ(w.sends.size(), 1u);
    EXPECT_TRUE(w.finals.empty());
    EXPECT_EQ(w.core->in_flight(), 0u);
}

TEST(Core, RefusalsCarryTheirReason) {
    Settings s = settings();
    s.plans = {{"plan", 1, 2}};
    World w(s);
    for (int i = 0; i < 6; ++i)
        w.take();
    ASSERT_FALSE(w.finals.empty());
    EXPECT_TRUE(w.finals[0].second.rejected);
    EXPECT_EQ(w.finals[0].second.reject_reason, RejectReason::quota_exhausted);
    EXPECT_GT(w.finals[0].second.retry_after, 0us);
    World empty(settings());
    empty.core->on_endpoints_changed(empty.now, {true, {}});
    empty.take();
    empty.pass(1s);
    ASSERT_EQ(empty.finals.size(), 1u);
    EXPECT_EQ(empty.finals[0].second.reject_reason, RejectReason::no_endpoint);
}

TEST(Core, TheSameEventsGiveTheSameActions) {
    const auto run = [] {
        World w(settings());
        std::string log;
        for (int i = 0; i < 200; ++i) {
            const RequestId id = w.take();
            const auto [key, host] = w.sends.back();
            log += host;
            if (i % 3 == 0)
                w.core->on_attempt_ended(w.now, key, host, Outcome::error, 2ms, {});
            else if (w.core->on_response_started(w.now, key, host, 4ms, {}))
                w.core->on_response_ended(w.now, id, true);
            w.pass(7ms);
        }
        return log + std::to_string(w.finals.size());
    };
    EXPECT_EQ(run(), run());
}

TEST(AccountSet, IsSharedByAllAndSpreadsEvenly) {
    std::vector<int> used(10);
    for (int i = 0; i < 2000; ++i) {
        const AccountSubset set = account_subset("account-" + std::to_string(i), 10, 3);
        EXPECT_EQ(set.size, 3);
        for (int rank = 0; rank < 10; ++rank)
            used[static_cast<std::size_t>(rank)] += set.contains(rank, 10);
    }
    for (const int n : used)
        EXPECT_NEAR(n, 600, 90);
    EXPECT_TRUE(account_subset("x", 4, 0).contains(3, 4)) << "0 spreads over all";
    EXPECT_TRUE(account_subset("x", 4, 9).contains(0, 4));
}

TEST(Core, WhatHasNotGoneOutIsTakenBackWhenItsRequestIsOver) {
    World w(settings());
    w.unsent = true;
    const RequestId id = w.take();
    ASSERT_EQ(w.sends.size(), 1u);
    w.core->on_client_disconnected(w.now, id);
    ASSERT_EQ(w.withdrawn.size(), 1u);
    EXPECT_EQ(w.withdrawn[0].request, id);
    EXPECT_EQ(w.core->in_flight(), 0u) << "nothing is waited for";
    EXPECT_EQ(w.sends.size(), 1u) << "nor sent again";
}
