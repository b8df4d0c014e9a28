// Guards against a soak test that passes although a guarantee is violated: the checker reports each
// kind of violation that these tests produce, and none if the guarantees are kept.
#include "tests/soak/guarantee_checker.h"

#include <gtest/gtest.h>

using namespace soak;
using namespace std::chrono_literals;

namespace {
std::vector<ViolationKind> violation_kinds(const GuaranteeChecker& checker) {
    std::vector<ViolationKind> kinds;
    for (const Violation& violation : checker.violations())
        kinds.push_back(violation.kind);
    return kinds;
}
using Kinds = std::vector<ViolationKind>;
}  // namespace

TEST(GuaranteeChecker, ReportsNothingIfGuaranteesAreKept) {
    GuaranteeChecker checker({});
    checker.on_request_sent(0ms, 1, Effect::keyed, 1500ms, true);
    checker.on_attempt(10ms, 1, "h1", 1, 1490);
    checker.on_attempt_ended(1, "h1", true);
    checker.on_attempt(500ms, 1, "h2", 1, 1000);
    checker.on_answer(600ms, 1, true, "for 1", 0ms);
    checker.on_request_sent(0ms, 2, Effect::unsafe, 1500ms, false);
    checker.on_attempt(10ms, 2, "h1", 1, 1490);
    checker.on_attempt_ended(2, "h1", false);
    checker.on_attempt(20ms, 2, "h2", 2, 1480);
    checker.on_answer(30ms, 2, false, "", 0ms);
    checker.on_request_sent(0ms, 3, Effect::safe, 1500ms, false);
    checker.on_client_closed(10ms, 3);
    checker.finish(10s);
    EXPECT_EQ(violation_kinds(checker), Kinds{});
}

TEST(GuaranteeChecker, ReportsLateLostUnexpectedAndWrongAnswers) {
    GuaranteeChecker checker({});
    checker.on_request_sent(0ms, 1, Effect::safe, 1000ms, false);
    checker.on_answer(1600ms, 1, true, "for 1", 0ms);
    checker.on_answer(1600ms, 1, false, "", 0ms);
    checker.on_request_sent(0ms, 2, Effect::safe, 5000ms, false);
    checker.on_answer(100ms, 2, true, "for 1", 0ms);
    checker.on_request_sent(0ms, 3, Effect::safe, 1000ms, false);
    checker.on_request_sent(0ms, 4, Effect::safe, 1000ms, false);
    checker.on_connection_dropped(100ms, 4, "n1");
    checker.finish(3s);
    EXPECT_EQ(violation_kinds(checker),
              (Kinds{ViolationKind::late, ViolationKind::unexpected_answer, ViolationKind::late,
                     ViolationKind::wrong_value, ViolationKind::lost, ViolationKind::lost}));
}

TEST(GuaranteeChecker, ReportsDuplicateEffectsAndConcurrentAttempts) {
    GuaranteeChecker checker({});
    checker.on_request_sent(0ms, 1, Effect::unsafe, 1500ms, false);
    checker.on_attempt(10ms, 1, "h1", 1, 1000);
    checker.on_attempt_ended(1, "h1", true);
    checker.on_attempt(20ms, 1, "h2", 1, 1000);
    checker.on_request_sent(0ms, 2, Effect::keyed, 3000ms, false);
    checker.on_attempt(10ms, 2, "h1", 1, 1000);
    checker.on_attempt_ended(2, "h1", true);
    checker.on_attempt(20ms, 2, "h2", 2, 1000);
    checker.on_request_sent(0ms, 3, Effect::keyed, 3000ms, false);
    checker.on_attempt(10ms, 3, "h1", 1, 1000);
    checker.on_attempt_ended(3, "h1", true);
    checker.on_attempt(1300ms, 3, "h2", 1, 1000);
    checker.on_request_sent(0ms, 4, Effect::safe, 3000ms, false);
    checker.on_attempt(10ms, 4, "h1", 1, 1000);
    checker.on_attempt(20ms, 4, "h2", 1, 1000);
    EXPECT_EQ(violation_kinds(checker),
              (Kinds{ViolationKind::duplicate_effect, ViolationKind::duplicate_effect,
                     ViolationKind::duplicate_effect, ViolationKind::concurrent_attempt}));
}

TEST(GuaranteeChecker, ReportsClosedClientsDeadlinesAndDrains) {
    GuaranteeChecker checker({});
    checker.on_request_sent(0ms, 1, Effect::safe, 1500ms, false);
    checker.on_client_closed(100ms, 1);
    checker.on_attempt(210ms, 1, "h1", 1, 100);
    checker.on_request_sent(0ms, 2, Effect::safe, 1500ms, false);
    checker.on_attempt(1000ms, 2, "h1", 1, 700);
    checker.on_drain_announced(0ms, "n1", "h1");
    checker.on_gateway_attempt(200ms, "n1", "h1");
    checker.on_gateway_attempt(400ms, "n2", "h1");
    checker.on_gateway_attempt(400ms, "n1", "h1");
    EXPECT_EQ(violation_kinds(checker),
              (Kinds{ViolationKind::client_gone, ViolationKind::excessive_deadline,
                     ViolationKind::drained}));
}

TEST(GuaranteeChecker, ReportsCeilingsColdHostsAndUnknownRequests) {
    GuaranteeChecker checker({});
    for (std::uint64_t id = 1; id <= 23; ++id) {
        checker.on_request_sent(0ms, id, Effect::safe, 1500ms, true);
        checker.on_attempt(10ms, id, "h1", 1, 1000);
    }
    checker.on_attempt(10ms, 99, "h1", 1, 1000);
    checker.on_host_started(0ms, "h2");
    for (std::uint64_t id = 100; id < 600; ++id) {
        checker.on_request_sent(0ms, id, Effect::safe, 1500ms, false);
        checker.on_attempt(20ms, id, "h2", 1, 1000);
    }
    EXPECT_EQ(violation_kinds(checker),
              (Kinds{ViolationKind::ceiling, ViolationKind::malformed, ViolationKind::cold_host}));
}
