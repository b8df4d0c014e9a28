// Keys of a registry that changes while the gateway runs.
#include "tests/gateway/key_registry.h"

using namespace key_test;

namespace {
// Checks the condition up to 100 times and runs the loop in between. Returns whether it held.
bool eventually(TestGateway& gateway, const std::function<bool()>& condition) {
    for (int i = 0; i < 100; ++i) {
        if (condition()) return true;
        gateway.run_until([] { return false; }, 30ms);
    }
    return false;
}
}  // namespace

TEST(Keys, RotationAndRevocationReachTheRunningGateway) {
    KeyRegistry keys;
    const std::string first = keys.issue("birds");
    TestGateway gateway(keys.options());
    EXPECT_EQ(status(gateway.exchange(request_with(first))), 200);
    const std::string second = keys.rotate(first, UnixTime(3'600'000));
    ASSERT_TRUE(eventually(gateway, [&] {
        return status(gateway.exchange(request_with(second))) == 200;
    })) << "the next check of the registry folder finds the new key";
    EXPECT_EQ(status(gateway.exchange(request_with(first))), 200)
        << "the old key is accepted during the overlap";
    keys.commit(RevokeKey{std::string(parse_key(first).id), now(), RevocationCause::leaked});
    ASSERT_TRUE(
        eventually(gateway, [&] { return status(gateway.exchange(request_with(first))) == 401; }));
    const std::string response = gateway.exchange(request_with(first));
    EXPECT_TRUE(contains(response, "the key has ended"));
    EXPECT_FALSE(contains(response, first.substr(14)))
        << "the response does not contain the key's secret";
    EXPECT_EQ(status(gateway.exchange(request_with(second))), 200);
    const std::size_t requests_before = gateway.request_count();
    std::string mistyped = second;
    mistyped.back() = mistyped.back() == '0' ? '1' : '0';
    EXPECT_TRUE(contains(gateway.exchange(request_with(mistyped)), "mistyped"));
    EXPECT_TRUE(contains(gateway.exchange(request_with("k1")), "this is no key"));
    EXPECT_EQ(status(gateway.exchange(TestGateway::get_request("/mine?X-Key=" + second))), 401)
        << "the description expects the key in a header";
    EXPECT_EQ(gateway.request_count(), requests_before);
}

TEST(Keys, AllKeysOfAnAccountCountAgainstOneTotal) {
    KeyRegistry keys;
    keys.commit(PutAccount{"wrens", "tiny"});
    keys.commit(PutAccount{"rival", "tiny"});
    keys.commit(MergeAccounts{"rival", "wrens"});
    const std::string first_key = keys.issue("wrens"), second_key = keys.issue("wrens"),
                      third_key = keys.issue("rival");
    TestGateway gateway(keys.options());
    int served_count = 0;
    for (int i = 0; i < 4; ++i)
        for (const std::string& key : {first_key, second_key, third_key})
            served_count += status(gateway.exchange(request_with(key))) == 200;
    EXPECT_GE(served_count, 1);
    EXPECT_LE(served_count, 2) << "the burst of two is shared by all keys";
}

TEST(Keys, AnAccountOfAnUnknownPlanIsRejected) {
    KeyRegistry keys;
    keys.commit(PutAccount{"lost", "unheard-of"});
    const std::string key = keys.issue("lost");
    TestGateway gateway(keys.options());
    EXPECT_EQ(status(gateway.exchange(request_with(key))), 401);
    EXPECT_EQ(gateway.request_count(), 0u);
}

TEST(Keys, AnOlderOrDamagedRegistryIsNotUsed) {
    KeyRegistry keys;
    const std::string key = keys.issue("birds");
    TestGateway gateway(keys.options());
    const auto copy = [&](const std::string& from, const std::string& to) {
        std::system(
            ("cp -p '" + keys.folder + "/" + from + "' '" + keys.folder + "/" + to + "'").c_str());
    };
    copy("log", "old-log"), copy("mark", "old-mark");
    keys.commit(RevokeKey{std::string(parse_key(key).id), now(), RevocationCause::leaked});
    ASSERT_TRUE(
        eventually(gateway, [&] { return status(gateway.exchange(request_with(key))) == 401; }));
    copy("old-log", "log"), copy("old-mark", "mark");
    gateway.run_until([] { return false; }, 300ms);
    EXPECT_EQ(status(gateway.exchange(request_with(key))), 401)
        << "an older registry does not undo a revocation";
    std::ofstream(keys.folder + "/log") << "rubbish";
    std::ofstream(keys.folder + "/mark") << "rubbish";
    gateway.run_until([] { return false; }, 300ms);
    EXPECT_EQ(status(gateway.exchange(request_with(key))), 401);
}
