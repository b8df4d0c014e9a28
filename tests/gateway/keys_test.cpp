// Keys of a registry that changes while the gateway runs.
#include "tests/gateway/key_folder.h"

using namespace key_test;

namespace {
// Checks the condition up to 100 times and runs the loop in between. Returns whether it held.
bool eventually(TestGateway& g, const std::function<bool()>& holds) {
    for (int i = 0; i < 100; ++i) {
        if (holds()) return true;
        g.run([] { return false; }, 30ms);
    }
    return false;
}
}  // namespace

TEST(Keys, RotationAndRevocationReachTheRunningGateway) {
    Keys keys;
    const std::string first = keys.issue("birds");
    TestGateway g(keys.options());
    EXPECT_EQ(status(g.talk(with(first))), 200);
    const std::string second = keys.rotate(first, UnixTime(3'600'000));
    ASSERT_TRUE(eventually(g, [&] { return status(g.talk(with(second))) == 200; }))
        << "the next check of the registry folder finds the new key";
    EXPECT_EQ(status(g.talk(with(first))), 200) << "the old key is accepted during the overlap";
    keys.make(RevokeKey{std::string(parse_key(first).id), now(), RevocationCause::leaked});
    ASSERT_TRUE(eventually(g, [&] { return status(g.talk(with(first))) == 401; }));
    const std::string answer = g.talk(with(first));
    EXPECT_TRUE(has(answer, "the key has ended"));
    EXPECT_FALSE(has(answer, first.substr(14))) << "the response does not contain the key's secret";
    EXPECT_EQ(status(g.talk(with(second))), 200);
    const std::size_t received = g.requests();
    std::string mistyped = second;
    mistyped.back() = mistyped.back() == '0' ? '1' : '0';
    EXPECT_TRUE(has(g.talk(with(mistyped)), "mistyped"));
    EXPECT_TRUE(has(g.talk(with("k1")), "this is no key"));
    EXPECT_EQ(status(g.talk(TestGateway::get("/mine?X-Key=" + second))), 401)
        << "the description expects the key in a header";
    EXPECT_EQ(g.requests(), received);
}

TEST(Keys, AllKeysOfAnAccountCountAgainstOneTotal) {
    Keys keys;
    keys.make(PutAccount{"wrens", "tiny"});
    keys.make(PutAccount{"rival", "tiny"});
    keys.make(MergeAccounts{"rival", "wrens"});
    const std::string a = keys.issue("wrens"), b = keys.issue("wrens"), c = keys.issue("rival");
    TestGateway g(keys.options());
    int served = 0;
    for (int i = 0; i < 4; ++i)
        for (const std::string& key : {a, b, c})
            served += status(g.talk(with(key))) == 200;
    EXPECT_GE(served, 1);
    EXPECT_LE(served, 2) << "the burst of two is shared by all keys";
}

TEST(Keys, AnAccountOfAnUnknownPlanIsRejected) {
    Keys keys;
    keys.make(PutAccount{"lost", "unheard-of"});
    const std::string key = keys.issue("lost");
    TestGateway g(keys.options());
    EXPECT_EQ(status(g.talk(with(key))), 401);
    EXPECT_EQ(g.requests(), 0u);
}

TEST(Keys, AnOlderOrDamagedRegistryIsNotUsed) {
    Keys keys;
    const std::string key = keys.issue("birds");
    TestGateway g(keys.options());
    const auto copy = [&](const std::string& from, const std::string& to) {
        std::system(
            ("cp -p '" + keys.folder + "/" + from + "' '" + keys.folder + "/" + to + "'").c_str());
    };
    copy("log", "old-log"), copy("mark", "old-mark");
    keys.make(RevokeKey{std::string(parse_key(key).id), now(), RevocationCause::leaked});
    ASSERT_TRUE(eventually(g, [&] { return status(g.talk(with(key))) == 401; }));
    copy("old-log", "log"), copy("old-mark", "mark");
    g.run([] { return false; }, 300ms);
    EXPECT_EQ(status(g.talk(with(key))), 401) << "an older registry does not undo a revocation";
    std::ofstream(keys.folder + "/log") << "rubbish";
    std::ofstream(keys.folder + "/mark") << "rubbish";
    g.run([] { return false; }, 300ms);
    EXPECT_EQ(status(g.talk(with(key))), 401);
}
