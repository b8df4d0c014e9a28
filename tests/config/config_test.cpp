#include "config/config.h"

#include <gtest/gtest.h>

using namespace silverreach;
using namespace silverreach::config;

namespace {
const std::string valid_config = R"(listen { address: "127.0.0.1:0" }
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
    std::vector<std::string> texts;
    texts.reserve(problems.size());
    for (const Problem& problem : problems)
        texts.push_back(openapi::to_string(problem));
    return texts;
}
bool contains_text(const std::vector<std::string>& problems, const std::string& expected) {
    for (const std::string& problem : problems)
        if (problem.find(expected) != std::string::npos) return true;
    for (const std::string& problem : problems)
        std::cout << problem << "\n";
    return false;
}
}  // namespace

TEST(Config, ConvertsValidConfigurationToSettings) {
    std::vector<Problem> problems;
    const auto config = parse(valid_config, "g", problems);
    ASSERT_TRUE(config);
    const Settings settings = settings_of(*config);
    ASSERT_EQ(settings.classes.size(), 6u)
        << "one engine class per configured class and idempotency";
    const int write_class = class_index(*config, "write", Idempotency::idempotency_key);
    EXPECT_EQ(settings.classes[static_cast<std::size_t>(write_class)].idempotency,
              Idempotency::idempotency_key);
    EXPECT_EQ(settings.classes[static_cast<std::size_t>(write_class)].deduplication_scope,
              DeduplicationScope::cell);
    EXPECT_EQ(settings.classes[static_cast<std::size_t>(write_class)].deadline,
              std::chrono::milliseconds(900));
    EXPECT_EQ(class_index(*config, "nope", Idempotency::idempotent), -1);
    StaticKeyIndex key_index(*config);
    EXPECT_EQ(key_index.find_account("k2").account->name, "birds");
    EXPECT_FALSE(key_index.find_account("k3").account);
}

TEST(Config, ReportsEveryErrorWithFileLineFieldAndExpectation) {
    const auto problems = problems_of(R"(listen { address: "localhost" max_connections: 0 }
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
    EXPECT_TRUE(
        contains_text(problems, "g.textproto:1: listen.address: expected IP address and port"));
    EXPECT_TRUE(contains_text(problems,
                              "g.textproto:1: listen.max_connections: expected 1 or more, not 0"));
    EXPECT_TRUE(contains_text(problems, "g.textproto:2: api.unpriced.class: expected one of read"));
    EXPECT_TRUE(contains_text(problems,
                              "g.textproto:3: class[0].aim_ms: expected no more than deadline_ms"));
    EXPECT_TRUE(contains_text(
        problems, "g.textproto:4: class[1].name: expected a name that no other class has"));
    EXPECT_TRUE(contains_text(problems, "g.textproto:4: class[1].deadline_ms: expected 1 or more"));
    EXPECT_TRUE(contains_text(problems, "g.textproto:5: column"));
    EXPECT_TRUE(contains_text(problems, "\"colour\""));
    EXPECT_TRUE(contains_text(problems, "g.textproto:5: plan[0].burst: expected a burst above 0"));
    EXPECT_TRUE(contains_text(problems, "g.textproto:6: account[0].plan: expected one of basic"));
    EXPECT_TRUE(contains_text(
        problems, "g.textproto:6: account[0].key[1]: expected a key that is listed only once"));
    EXPECT_TRUE(contains_text(
        problems, "g.textproto:7: hosts: expected either a file or a discovery address"));
    EXPECT_TRUE(contains_text(problems, "g.textproto:8: rules.start_capacity"));
    EXPECT_TRUE(contains_text(problems, "g.textproto:9: attempts.most"));
    EXPECT_TRUE(contains_text(problems, "g.textproto:10: host_answers.full[0].status"));
    EXPECT_TRUE(contains_text(
        problems, "g.textproto:11: peers.peer[1].rank: expected a rank that no other peer has"));
    EXPECT_TRUE(contains_text(problems, "g.textproto:11: peers.rank: expected a rank from 0 to 1"));
}

TEST(Config, NamesMissingFields) {
    const auto problems = problems_of("plan { rate: nan }\n");
    EXPECT_TRUE(contains_text(problems, "plan[0].name: expected a value"));
    EXPECT_TRUE(contains_text(problems, "api.description"));
    EXPECT_TRUE(contains_text(problems, "class: expected at least one request class"));
    EXPECT_TRUE(contains_text(problems, "plan[0].rate: expected 0 or more, not nan"));
    EXPECT_TRUE(contains_text(problems_of("listen { address: }"), "g.textproto:1: column"));
    EXPECT_FALSE(problems_of(std::string("\0\xff{{{", 5)).empty());
}

TEST(Config, ParsesEndpointsOfAddressAndPort) {
    EXPECT_EQ(parse_endpoint("[::1]:80")->to_string(), "[::1]:80");
    EXPECT_EQ(parse_endpoint("127.0.0.1:0")->port, 0);
    for (const char* invalid : {"", "127.0.0.1", "127.0.0.1:", "127.0.0.1:65536", "127.0.0.1:-1",
                                "::1:80", "[::1]", "h:80", "1.2.3:4", "1.2.3.4:8x"})
        EXPECT_FALSE(parse_endpoint(invalid)) << invalid;
}
