// The judge is shown to fail: each rule is broken once in a record that is good without that.
#include "scenario_runner/invariant_checker.h"

#include <gtest/gtest.h>

#include "fakes/host_model.h"
#include "scenario_runner/scenario.h"

using namespace silverreach::scenario;
using nlohmann::json;

namespace {
Terms terms() {
    Terms t;
    t.slack = Micros(10'000), t.drain_grace = Micros(250'000);
    t.cold = Micros(10'000'000), t.fall_time = Micros(1'000'000), t.start_capacity = 0.2,
    t.fall_multiple = 2;
    t.ceilings["coast"] = {10, 10};
    return t;
}
json client(long t, const char* what, const std::string& id, const json& more = {}) {
    json r = {{"t", t}, {"who", "client"}, {"what", what}, {"id", id}, {"gateway", 0}};
    if (more.is_object()) r.update(more);
    return r;
}
json sent(long t, const std::string& id, const std::string& effect = "safe",
          const std::string& account = "coast") {
    return client(t, "sent", id,
                  {{"account", account},
                   {"effect", effect},
                   {"units", 1},
                   {"deadline_us", 1'000'000},
                   {"op", "op-" + id}});
}
json answer(long t, const std::string& id, const std::string& reason = "", int status = 200) {
    return client(t, "answer", id, {{"status", status}, {"reason", reason}, {"head_seen", true}});
}
json host(long t, const char* what, const std::string& id, const json& more = {}) {
    json r = {{"t", t},           {"who", "host"},     {"what", what}, {"id", id},
              {"op", "op-" + id}, {"host", "h1"},      {"gateway", 0}, {"attempt", 0},
              {"units", 1.0},     {"work_us", 10'000}, {"taken", true}};
    if (more.is_object()) r.update(more);
    return r;
}
json told(long t, json hosts) {
    return {{"t", t}, {"who", "roster"}, {"what", "told"}, {"gateway", 0}, {"hosts", hosts}};
}
std::vector<json> good() {
    return {told(0, {{"h1", "HEALTHY"}}),
            sent(1000, "a"),
            host(2000, "received", "a"),
            host(9000, "ran", "a", {{"effect", "safe"}}),
            answer(10'000, "a"),
            sent(20'000, "u", "unsafe"),
            host(21'000, "received", "u"),
            host(30'000, "ran", "u", {{"effect", "unsafe"}}),
            answer(31'000, "u")};
}
// The good record with more in it breaks exactly this rule.
void breaks(Rule rule, std::vector<json> more) {
    std::vector<json> all = good();
    all.insert(all.end(), more.begin(), more.end());
    const Verdict v = judge(all, terms());
    EXPECT_TRUE(v.broke(rule)) << to_string(rule);
    for (const auto& [other, what] : v.broken)
        EXPECT_EQ(other, rule) << what;
}
}  // namespace

TEST(Judge, AGoodRecordIsKeptAndWasLookedAt) {
    const Verdict v = judge(good(), terms());
    EXPECT_TRUE(v.kept()) << text_of(v);
    for (const Rule r : {Rule::one_answer, Rule::no_effect_twice, Rule::drains_kept,
                         Rule::ceilings_kept, Rule::counted_once})
        EXPECT_GT(v.looked_at.at(r), 0u) << to_string(r);
}

TEST(Judge, OneAnswerInTime) {
    breaks(Rule::one_answer, {sent(50'000, "b")});
    breaks(Rule::one_answer, {sent(50'000, "b"), answer(1'070'000, "b", "no-time", 504)});
    breaks(Rule::one_answer, {sent(50'000, "b"), answer(60'000, "b"), answer(61'000, "b")});
    breaks(Rule::one_answer,
           {sent(50'000, "b"), client(60'000, "broken", "b", {{"head_seen", false}})});
    breaks(Rule::one_answer, {sent(50'000, "b"), client(1'300'000, "gave_up", "b")});
    breaks(Rule::one_answer,
           {sent(50'000, "b"), answer(60'000, "b"), host(90'000, "received", "b")});
    breaks(Rule::one_answer, {client(60'000, "extra", "a")});
}

TEST(Judge, AGatewayThatWasKilledOwesNothing) {
    std::vector<json> all = good();
    all.push_back(sent(50'000, "b"));
    all.push_back(client(60'000, "broken", "b", {{"head_seen", false}}));
    all.push_back({{"t", 55'000}, {"who", "drill"}, {"what", "killed"}, {"gateway", 0}});
    EXPECT_TRUE(judge(all, terms()).kept());
    all.back()["gateway"] = 1;
    EXPECT_FALSE(judge(all, terms()).kept()) << "another one's death excuses nothing";
}

// Failed once in some twenty bad days: a try that found nobody and the start had the same
// microsecond.
TEST(Judge, ATryAtTheMomentOfAStartMayFindNobodyAndALaterOneMayNot) {
    for (const int after : {0, 1}) {
        std::vector<json> all = good();
        all.push_back({{"t", 40'000}, {"who", "drill"}, {"what", "killed"}, {"gateway", 0}});
        all.push_back({{"t", 50'000}, {"who", "drill"}, {"what", "started"}, {"gateway", 0}});
        all.push_back(sent(50'000 + after, "b"));
        all.push_back(client(50'000 + after, "unreached", "b", json::object()));
        EXPECT_EQ(judge(all, terms()).kept(), after == 0);
    }
}

TEST(Judge, NoEffectTwice) {
    breaks(Rule::no_effect_twice, {host(40'000, "ran", "u", {{"effect", "unsafe"}})});
    breaks(Rule::no_effect_twice,
           {sent(50'000, "k", "keyed"), host(51'000, "ran", "k", {{"effect", "keyed"}}),
            host(52'000, "ran", "k", {{"effect", "keyed"}, {"host", "h2"}}), answer(60'000, "k")});
    breaks(Rule::no_effect_twice, {sent(50'000, "r", "unsafe"), host(51'000, "received", "r"),
                                   answer(60'000, "r", "no-answer", 504)});
    EXPECT_TRUE(judge({sent(0, "f", "unsafe"), host(1, "received", "f", {{"taken", false}}),
                       answer(2, "f", "no-host", 503)},
                      terms())
                    .kept());
}

TEST(Judge, DrainsKept) {
    const json drain = told(100'000, {{"h1", "DRAINING"}}), gone = told(100'000, json::object());
    for (const json& word : {drain, gone}) {
        breaks(Rule::drains_kept,
               {word, sent(400'000, "b"), host(400'100, "received", "b"), answer(410'000, "b")});
        std::vector<json> all = good();
        for (const json& r :
             {word, sent(300'000, "b"), host(300'100, "received", "b"), answer(310'000, "b")})
            all.push_back(r);
        EXPECT_TRUE(judge(all, terms()).kept()) << "within the grace";
    }
}

TEST(Judge, NoColdHostPushedOver) {
    std::vector<json> more = {
        host(40'000, "started", "", {{"cold", true}, {"full_capacity", 1.0}, {"host", "h2"}})};
    for (int i = 0; i < 80; ++i) {
        const std::string id = "c" + std::to_string(i);
        more.push_back(sent(50'000 + i * 1000, id, "safe", "wetlands"));
        more.push_back(host(50'500 + i * 1000, "received", id, {{"host", "h2"}}));
        more.push_back(answer(51'000 + i * 1000, id));
    }
    breaks(Rule::no_cold_host_pushed_over, more);
    breaks(Rule::no_cold_host_pushed_over, {host(90'000, "fell", "")});
    more[0]["cold"] = false;
    std::vector<json> all = good();
    all.insert(all.end(), more.begin(), more.end());
    EXPECT_TRUE(judge(all, terms()).kept()) << "a warm one bears it";
}

TEST(Judge, CeilingsKept) {
    std::vector<json> more;
    for (int i = 0; i < 12; ++i) {
        const std::string id = "c" + std::to_string(i);
        more.push_back(sent(50'000, id));
        more.push_back(host(50'500, "received", id));
        more.push_back(answer(51'000, id));
    }
    breaks(Rule::ceilings_kept, more);
    for (json& r : more)
        if (r["what"] == "received") r["attempt"] = 1, r["id"] = "c0";
    more.resize(3);
    EXPECT_FALSE(judge(more, terms()).broke(Rule::ceilings_kept))
        << "further attempts take nothing";
}

TEST(Judge, EachTryCountedOnce) {
    breaks(Rule::counted_once, {host(40'000, "received", "nobody")});
    std::vector<json> twice = good();
    twice.push_back(host(2500, "received", "a"));
    EXPECT_TRUE(judge(twice, terms()).broke(Rule::counted_once)) << "the same attempt at two hosts";
    std::vector<json> units = good();
    units[2]["units"] = 2.0;
    EXPECT_TRUE(judge(units, terms()).broke(Rule::counted_once));
    breaks(Rule::counted_once, {sent(1000, "a")});
}

TEST(Scenario, EveryErrorAtOnceWithItsLine) {
    Scenario s;
    std::vector<silverreach::openapi::Problem> problems;
    EXPECT_FALSE(parse_scenario(
        "name: x\nseconds: -1\ngateways: 2\nhosts: [{count: 1, colour: red}]\nflows: [{rate: x}]\n"
        "happenings:\n  - {at: 1, do: kill-gateway, gateway: 5}\n  - {at: 1, do: sing}\n",
        "d.yaml", s, problems));
    std::string all;
    for (const auto& p : problems)
        all += to_string(p) + "\n";
    for (const char* words :
         {"d.yaml:2: scenario.seconds", "d.yaml:4: hosts[0].colour: expected a known name",
          "flows[0].rate", "flows[0].key", "d.yaml:7: happenings[0].gateway",
          "d.yaml:8: happenings[1].do: expected one of cut-answers", "scenario.config"})
        EXPECT_NE(all.find(words), std::string::npos) << words << "\n" << all;
}

TEST(Tally, WorksWaitsTurnsAwayAndFallsOver) {
    using namespace silverreach::fakes;
    TallySettings s;
    s.cores = 1, s.room = 1;
    Tally host(s, Micros(0));
    EXPECT_TRUE(host.arrive(Micros(0), 1, Micros(100)));
    EXPECT_TRUE(host.arrive(Micros(0), 2, Micros(100)));
    EXPECT_FALSE(host.arrive(Micros(0), 3, Micros(100)));
    EXPECT_EQ(*host.next(), Micros(100));
    const auto done = host.advance(Micros(500));
    ASSERT_EQ(done.size(), 2u);
    EXPECT_EQ(done[1].job, 2u);
    EXPECT_EQ(done[1].at, Micros(200))
        << "the second begins when the first ends, not when it is looked at";
    s.cold = Micros(10'000'000), s.start_capacity = 0.1, s.fall_multiple = 2,
    s.fall_time = Micros(1'000'000), s.room = 1000;
    Tally cold(s, Micros(0));
    EXPECT_NEAR(cold.capacity(Micros(0)), 0.1, 1e-9);
    int taken = 0;
    while (taken < 100 &&
           cold.arrive(Micros(taken * 1000), static_cast<std::uint64_t>(taken), Micros(10'000)))
        ++taken;
    EXPECT_TRUE(cold.fallen());
    EXPECT_NEAR(taken, 22, 3) << "a budget of 0.2 s of work, and two jobs for chance";
}
