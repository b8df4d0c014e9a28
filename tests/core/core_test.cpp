// The core alone: an outside that writes down what it is asked for, and a clock that the test moves.
#include "core/core.h"

#include <gtest/gtest.h>

#include <functional>
#include <map>

using namespace silverreach;
using namespace silverreach::core;
using namespace std::chrono_literals;

namespace {
Settings settings(Effect effect = Effect::safe) {
    Settings s;
    s.classes = {{"read", effect, RepeatScope::all, 400ms, 1s, 3s, 1, 0}};
    s.plans = {{"plan", 100, 100}};
    s.max_attempts = 3;
    s.second_copies = s.may_cancel = s.may_advise_retry = true;
    s.tick = 4ms;
    return s;
}

struct World : Outside {
    Micros now = 1s;
    std::multimap<Micros, Timer> timers;
    std::vector<std::pair<AttemptKey, std::string>> sends;
    std::vector<AttemptKey> cancels, withdrawn;
    bool unsent = false;  // attempts are still waiting for their connections
    std::vector<std::pair<RequestId, Final>> finals;
    std::vector<RequestId> cuts;
    std::function<void(const AttemptKey&, const std::string&)> on_send;
    std::unique_ptr<Core> core;

    explicit World(const Settings& s) {
        core = std::make_unique<Core>(s, 0, 1, now, *this);
        core->hosts_changed(now, {true, {host("a"), host("b"), host("c")}});
    }
    static HostEntry host(const std::string& name) {
        HostEntry h;
        h.host = name;
        return h;
    }
    void start_timer(Micros wait, Timer t) override { timers.emplace(now + wait, t); }
    void send(const AttemptKey& key, const std::string& to, Micros) override {
        sends.emplace_back(key, to);
        if (on_send) on_send(key, to);
    }
    void cancel(const AttemptKey& key) override { cancels.push_back(key); }
    bool withdraw(const AttemptKey& key) override {
        if (unsent) withdrawn.push_back(key);
        return unsent;
    }
    void probe(const std::string&) override {}
    void tell(int, const std::string&) override {}
    void finish(RequestId id, const Final& f) override { finals.emplace_back(id, f); }
    void cut(RequestId id) override { cuts.push_back(id); }

    RequestId take(Micros time_left = 1s) {
        const RequestId id = core->next_id();
        core->take(now, id, {"birds", 0, 0, 1, time_left});
        return id;
    }
    void pass(Micros span) {
        const Micros until = now + span;
        while (!timers.empty() && timers.begin()->first <= until) {
            const auto [at, timer] = *timers.begin();
            timers.erase(timers.begin());
            now = at;
            core->timer_fired(now, timer);
        }
        now = until;
    }
};
}  // namespace

TEST(Core, AnswerGoesToTheClientOnceAndTheRequestIsForgotten) {
    World w(settings());
    const RequestId id = w.take();
    ASSERT_EQ(w.sends.size(), 1u);
    EXPECT_TRUE(w.core->answer_begins(w.now, w.sends[0].first, w.sends[0].second, 5ms, {}));
    EXPECT_FALSE(w.core->answer_begins(w.now, w.sends[0].first, w.sends[0].second, 5ms, {}));
    w.core->answer_ended(w.now, id, true);
    EXPECT_EQ(w.core->held(), 0u);
    w.pass(3s);
    EXPECT_TRUE(w.finals.empty());
    EXPECT_EQ(w.core->counts().served, 1u);
}

TEST(Core, OfTwoCopiesTheLaterAnswerIsDropped) {
    World w(settings());
    for (int i = 0; i < 30; ++i) {  // the module learns how fast answers are
        const RequestId id = w.take();
        const auto [key, host] = w.sends.back();
        w.pass(5ms);
        ASSERT_TRUE(w.core->answer_begins(w.now, key, host, 5ms, {}));
        w.core->answer_ended(w.now, id, true);
    }
    w.sends.clear();
    const RequestId id = w.take();
    w.pass(300ms);
    ASSERT_GE(w.sends.size(), 2u) << "a silent host brings a second copy";
    EXPECT_EQ(w.sends[1].first.attempt, 1);
    EXPECT_TRUE(w.core->answer_begins(w.now, w.sends[1].first, w.sends[1].second, 5ms, {}));
    for (const auto& [key, host] : w.sends) EXPECT_FALSE(w.core->answer_begins(w.now, key, host, 300ms, {}));
    w.core->answer_ended(w.now, id, true);
    EXPECT_EQ(w.core->held(), 0u);
}

TEST(Core, SilenceEndsInOneFinalAnswerBeforeTheDeadline) {
    for (const Effect effect : {Effect::safe, Effect::keyed, Effect::unsafe}) {
        World w(settings(effect));
        w.take();
        w.pass(999ms);
        ASSERT_EQ(w.finals.size(), 1u) << static_cast<int>(effect);
        EXPECT_EQ(w.finals[0].second.refused, effect == Effect::safe);
        if (effect != Effect::safe) {
            EXPECT_EQ(w.finals[0].second.fail_reason, FailReason::no_time);
        }
        w.pass(2s);
        EXPECT_EQ(w.finals.size(), 1u);
        EXPECT_EQ(w.core->held(), 0u) << "attempts end as timed out";
        EXPECT_EQ(w.cancels.size(), w.sends.size());
    }
}

TEST(Core, AnUnsafeRequestThatMayHaveRunIsNotSentAgain) {
    World w(settings(Effect::unsafe));
    w.take();
    ASSERT_EQ(w.sends.size(), 1u);
    w.core->attempt_ended(w.now, w.sends[0].first, w.sends[0].second, Outcome::reset, 1ms, {});
    EXPECT_EQ(w.sends.size(), 1u);
    ASSERT_EQ(w.finals.size(), 1u);
    EXPECT_FALSE(w.finals[0].second.refused);
    EXPECT_EQ(w.finals[0].second.fail_reason, FailReason::bad_answer);
}

TEST(Core, WhatFailsAtOnceWithinASendIsQueuedNotNested) {
    World w(settings());
    w.on_send = [&](const AttemptKey& key, const std::string& host) {
        w.core->attempt_ended(w.now, key, host, Outcome::connect_failed, 0us, {});
    };
    w.take();
    EXPECT_GT(w.sends.size(), 1u);
    EXPECT_LE(w.sends.size(), 3u) << "no more than the settings allow";
    w.pass(1s);
    EXPECT_EQ(w.finals.size(), 1u);
    EXPECT_EQ(w.core->held(), 0u);
}

TEST(Core, ABoundAnswerThatOverrunsTheDeadlineIsCut) {
    World w(settings());
    const RequestId id = w.take(300ms);
    ASSERT_TRUE(w.core->answer_begins(w.now, w.sends[0].first, w.sends[0].second, 5ms, {}));
    w.pass(299ms);
    EXPECT_TRUE(w.cuts.empty());
    w.pass(2ms);
    EXPECT_EQ(w.cuts, std::vector<RequestId>{id});
    EXPECT_EQ(w.cancels, std::vector<AttemptKey>{w.sends[0].first}) << "the host's side ends as well";
    w.core->answer_ended(w.now, id, true);
    EXPECT_TRUE(w.finals.empty());
    EXPECT_EQ(w.core->counts().broken, 1u);
    EXPECT_EQ(w.core->held(), 0u);
}

TEST(Core, NothingIsSentForAClientThatLeft) {
    World w(settings());
    const RequestId id = w.take();
    w.core->client_left(w.now, id);
    w.core->attempt_ended(w.now, w.sends[0].first, w.sends[0].second, Outcome::full, 1ms, {});
    w.pass(2s);
    EXPECT_EQ(w.sends.size(), 1u);
    EXPECT_TRUE(w.finals.empty());
    EXPECT_EQ(w.core->held(), 0u);
}

TEST(Core, RefusalsCarryTheirReason) {
    Settings s = settings();
    s.plans = {{"plan", 1, 2}};
    World w(s);
    for (int i = 0; i < 6; ++i) w.take();
    ASSERT_FALSE(w.finals.empty());
    EXPECT_TRUE(w.finals[0].second.refused);
    EXPECT_EQ(w.finals[0].second.refuse_reason, RefuseReason::quota);
    EXPECT_GT(w.finals[0].second.retry_after, 0us);
    World empty(settings());
    empty.core->hosts_changed(empty.now, {true, {}});
    empty.take();
    empty.pass(1s);
    ASSERT_EQ(empty.finals.size(), 1u);
    EXPECT_EQ(empty.finals[0].second.refuse_reason, RefuseReason::no_host);
}

TEST(Core, TheSameEventsGiveTheSameActions) {
    const auto run = [] {
        World w(settings());
        std::string log;
        for (int i = 0; i < 200; ++i) {
            const RequestId id = w.take();
            const auto [key, host] = w.sends.back();
            log += host;
            if (i % 3 == 0) w.core->attempt_ended(w.now, key, host, Outcome::error, 2ms, {});
            else if (w.core->answer_begins(w.now, key, host, 4ms, {})) w.core->answer_ended(w.now, id, true);
            w.pass(7ms);
        }
        return log + std::to_string(w.finals.size());
    };
    EXPECT_EQ(run(), run());
}

TEST(AccountSet, IsSharedByAllAndSpreadsEvenly) {
    std::vector<int> used(10);
    for (int i = 0; i < 2000; ++i) {
        const AccountSet set = account_set("account-" + std::to_string(i), 10, 3);
        EXPECT_EQ(set.size, 3);
        for (int rank = 0; rank < 10; ++rank) used[static_cast<std::size_t>(rank)] += set.holds(rank, 10);
    }
    for (const int n : used) EXPECT_NEAR(n, 600, 90);
    EXPECT_TRUE(account_set("x", 4, 0).holds(3, 4)) << "0 spreads over all";
    EXPECT_TRUE(account_set("x", 4, 9).holds(0, 4));
}

TEST(Core, WhatHasNotGoneOutIsTakenBackWhenItsRequestIsOver) {
    World w(settings());
    w.unsent = true;
    const RequestId id = w.take();
    ASSERT_EQ(w.sends.size(), 1u);
    w.core->client_left(w.now, id);
    ASSERT_EQ(w.withdrawn.size(), 1u);
    EXPECT_EQ(w.withdrawn[0].request, id);
    EXPECT_EQ(w.core->held(), 0u) << "nothing is waited for";
    EXPECT_EQ(w.sends.size(), 1u) << "nor sent again";
}
