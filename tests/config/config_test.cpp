#include "config/config.h"

#include <gtest/gtest.h>

using namespace silverreach;
using namespace silverreach::config;

namespace {
const std::string good = R"(listen { address: "127.0.0.1:0" }
api { description: "api.yaml" }
class { name: "read" aim_ms: 100 deadline_ms: 500 }
class { name: "write" aim_ms: 200 deadline_ms: 900 repeat_scope: CELL repeat_window_ms: 1000 }
plan { name: "basic" rate: 2 burst: 4 }
account { name: "birds" plan: "basic" key: "k1" key: "k2" }
hosts { file: "hosts.json" }
)";
std::vector<std::string> problems_of(const std::string& text) {
    std::vector<Problem> problems;
    const auto config = parse(text, "g.textproto", problems);
    EXPECT_EQ(config == nullptr, !problems.empty());
    std::vector<std::string> out;
    out.reserve(problems.size());
    for (const Problem& p : problems)
        out.push_back(openapi::to_string(p));
    return out;
}
bool has(const std::vector<std::string>& all, const std::string& words) {
    for (const std::string& p : all)
        if (p.find(words) != std::string::npos) return true;
    for (const std::string& p : all)
        std::cout << p << "\n";
    return false;
}
}  // namespace

TEST(Config, GoodOneBecomesSettings) {
    std::vector<Problem> problems;
    const auto c = parse(good, "g", problems);
    ASSERT_TRUE(c);
    const Settings s = settings_of(*c);
    ASSERT_EQ(s.classes.size(), 6u) << "each class once for each effect";
    const int write = class_index(*c, "write", Idempotency::idempotency_key);
    EXPECT_EQ(s.classes[static_cast<std::size_t>(write)].idempotency, Idempotency::idempotency_key);
    EXPECT_EQ(s.classes[static_cast<std::size_t>(write)].deduplication_scope,
              DeduplicationScope::cell);
    EXPECT_EQ(s.classes[static_cast<std::size_t>(write)].deadline, std::chrono::milliseconds(900));
    EXPECT_EQ(class_index(*c, "nope", Idempotency::idempotent), -1);
    StaticKeyIndex accounts(*c);
    EXPECT_EQ(accounts.find_account("k2").account->name, "birds");
    EXPECT_FALSE(accounts.find_account("k3").account);
}

TEST(Config, EveryErrorAtOnceWithFileLineFieldAndWhatWasExpected) {
    const auto all = problems_of(R"(listen { address: "localhost" max_connections: 0 }
api { description: "api.yaml" unpriced { class: "none" } }
class { name: "read" aim_ms: 900 deadline_ms: 500 }
class { name: "read" aim_ms: 1 deadline_ms: -5 }
plan { name: "basic" rate: 2 colour: "red" }
account { name: "birds" plan: "gold" key: "k" key: "k" }
hosts { file: "a" discovery: "b" }
rules { start_capacity: 0 }
attempts { most: 0 }
host_answers { full { status: 200 } }
peers { rank: 2 peer { rank: 0 address: "127.0.0.1:1" } peer { rank: 0 address: "x" } }
)");
    EXPECT_TRUE(has(all, "g.textproto:1: listen.address: expected IP address and port"));
    EXPECT_TRUE(has(all, "g.textproto:1: listen.max_connections: expected 1 or more, not 0"));
    EXPECT_TRUE(has(all, "g.textproto:2: api.unpriced.class: expected one of read"));
    EXPECT_TRUE(has(all, "g.textproto:3: class[0].aim_ms: expected no more than deadline_ms"));
    EXPECT_TRUE(has(all, "g.textproto:4: class[1].name: expected a name that no other class has"));
    EXPECT_TRUE(has(all, "g.textproto:4: class[1].deadline_ms: expected 1 or more"));
    EXPECT_TRUE(has(all, "g.textproto:5: column"));
    EXPECT_TRUE(has(all, "\"colour\""));
    EXPECT_TRUE(has(all, "g.textproto:5: plan[0].burst: expected a burst above 0"));
    EXPECT_TRUE(has(all, "g.textproto:6: account[0].plan: expected one of basic"));
    EXPECT_TRUE(
        has(all, "g.textproto:6: account[0].key[1]: expected a key that stands nowhere else"));
    EXPECT_TRUE(has(all, "g.textproto:7: hosts: expected either a file or a discovery address"));
    EXPECT_TRUE(has(all, "g.textproto:8: rules.start_capacity"));
    EXPECT_TRUE(has(all, "g.textproto:9: attempts.most"));
    EXPECT_TRUE(has(all, "g.textproto:10: host_answers.full[0].status"));
    EXPECT_TRUE(
        has(all, "g.textproto:11: peers.peer[1].rank: expected a rank that no other peer has"));
    EXPECT_TRUE(has(all, "g.textproto:11: peers.rank: expected a rank from 0 to 1"));
}

TEST(Config, WhatIsMissingIsNamed) {
    const auto all = problems_of("plan { rate: nan }\n");
    EXPECT_TRUE(has(all, "plan[0].name: expected a value"));
    EXPECT_TRUE(has(all, "api.description"));
    EXPECT_TRUE(has(all, "class: expected one class"));
    EXPECT_TRUE(has(all, "plan[0].rate: expected 0 or more, not nan"));
    EXPECT_TRUE(has(problems_of("listen { address: }"), "g.textproto:1: column"));
    EXPECT_FALSE(problems_of(std::string("\0\xff{{{", 5)).empty());
}

TEST(Config, EndpointsAreAddressesWithPorts) {
    EXPECT_EQ(parse_endpoint("[::1]:80")->to_string(), "[::1]:80");
    EXPECT_EQ(parse_endpoint("127.0.0.1:0")->port, 0);
    for (const char* bad : {"", "127.0.0.1", "127.0.0.1:", "127.0.0.1:65536", "127.0.0.1:-1",
                            "::1:80", "[::1]", "h:80", "1.2.3:4", "1.2.3.4:8x"})
        EXPECT_FALSE(parse_endpoint(bad)) << bad;
}
