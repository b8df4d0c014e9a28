// The validator of the soak test sees each breach, and nothing where the promises are kept.
#include "tests/soak/ledger.h"

#include <gtest/gtest.h>

using namespace soak;
using namespace std::chrono_literals;

namespace {
std::vector<Breach> breaches(const Ledger& ledger) {
    std::vector<Breach> out;
    for (const Violation& v : ledger.violations())
        out.push_back(v.breach);
    return out;
}
using Breaches = std::vector<Breach>;
}  // namespace

TEST(SoakLedger, KeptPromisesAreNoBreach) {
    Ledger l({});
    l.sent(0ms, 1, Effect::keyed, 1500ms, true);
    l.attempt(10ms, 1, "h1", 1, 1490);
    l.attempt_over(1, "h1", true);
    l.attempt(500ms, 1, "h2", 1, 1000);
    l.answered(600ms, 1, true, "for 1", 0ms);
    l.sent(0ms, 2, Effect::unsafe, 1500ms, false);
    l.attempt(10ms, 2, "h1", 1, 1490);
    l.attempt_over(2, "h1", false);
    l.attempt(20ms, 2, "h2", 2, 1480);
    l.answered(30ms, 2, false, "", 0ms);
    l.sent(0ms, 3, Effect::safe, 1500ms, false);
    l.client_closed(10ms, 3);
    l.finish(10s);
    EXPECT_EQ(breaches(l), Breaches{});
}

TEST(SoakLedger, LateLostSecondAndForeignAnswers) {
    Ledger l({});
    l.sent(0ms, 1, Effect::safe, 1000ms, false);
    l.answered(1600ms, 1, true, "for 1", 0ms);
    l.answered(1600ms, 1, false, "", 0ms);
    l.sent(0ms, 2, Effect::safe, 5000ms, false);
    l.answered(100ms, 2, true, "for 1", 0ms);
    l.sent(0ms, 3, Effect::safe, 1000ms, false);
    l.sent(0ms, 4, Effect::safe, 1000ms, false);
    l.dropped(100ms, 4, "n1");
    l.finish(3s);
    EXPECT_EQ(breaches(l), (Breaches{Breach::late, Breach::second_word, Breach::late,
                                     Breach::foreign, Breach::lost, Breach::lost}));
}

TEST(SoakLedger, EffectsTwiceAndTwoOut) {
    Ledger l({});
    l.sent(0ms, 1, Effect::unsafe, 1500ms, false);
    l.attempt(10ms, 1, "h1", 1, 1000);
    l.attempt_over(1, "h1", true);
    l.attempt(20ms, 1, "h2", 1, 1000);
    l.sent(0ms, 2, Effect::keyed, 3000ms, false);
    l.attempt(10ms, 2, "h1", 1, 1000);
    l.attempt_over(2, "h1", true);
    l.attempt(20ms, 2, "h2", 2, 1000);
    l.sent(0ms, 3, Effect::keyed, 3000ms, false);
    l.attempt(10ms, 3, "h1", 1, 1000);
    l.attempt_over(3, "h1", true);
    l.attempt(1300ms, 3, "h2", 1, 1000);
    l.sent(0ms, 4, Effect::safe, 3000ms, false);
    l.attempt(10ms, 4, "h1", 1, 1000);
    l.attempt(20ms, 4, "h2", 1, 1000);
    EXPECT_EQ(breaches(l),
              (Breaches{Breach::twice, Breach::twice, Breach::twice, Breach::two_out}));
}

TEST(SoakLedger, GoneClientsDeadlinesAndDrains) {
    Ledger l({});
    l.sent(0ms, 1, Effect::safe, 1500ms, false);
    l.client_closed(100ms, 1);
    l.attempt(210ms, 1, "h1", 1, 100);
    l.sent(0ms, 2, Effect::safe, 1500ms, false);
    l.attempt(1000ms, 2, "h1", 1, 700);
    l.told_drained(0ms, "n1", "h1");
    l.attempt_by(200ms, "n1", "h1");
    l.attempt_by(400ms, "n2", "h1");
    l.attempt_by(400ms, "n1", "h1");
    EXPECT_EQ(breaches(l), (Breaches{Breach::client_gone, Breach::deadline, Breach::drained}));
}

TEST(SoakLedger, CeilingsColdHostsAndUnknownRequests) {
    Ledger l({});
    for (std::uint64_t id = 1; id <= 23; ++id) {
        l.sent(0ms, id, Effect::safe, 1500ms, true);
        l.attempt(10ms, id, "h1", 1, 1000);
    }
    l.attempt(10ms, 99, "h1", 1, 1000);
    l.host_started(0ms, "h2");
    for (std::uint64_t id = 100; id < 600; ++id) {
        l.sent(0ms, id, Effect::safe, 1500ms, false);
        l.attempt(20ms, id, "h2", 1, 1000);
    }
    EXPECT_EQ(breaches(l), (Breaches{Breach::ceiling, Breach::malformed, Breach::cold_host}));
}
