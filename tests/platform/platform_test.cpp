// The platform's configuration, discovery entries and commands, each as it should be and wrong in
// one place.
#include <gtest/gtest.h>

#include "platform/request.h"
#include "tests/node/settings.h"

using namespace silverreach;
using namespace silverreach::platform;
using namespace std::chrono_literals;

namespace {
const char* no_variable(const char*) {
    return nullptr;
}
NodeConfig parsed(const std::string& text) {
    return read_config(text, no_variable);
}
std::string why(const std::string& text) {
    try {
        parsed(text);
    } catch (const std::invalid_argument& error) {
        return error.what();
    }
    return "";
}
std::string without(std::string text, const std::string& part, const std::string& instead = "") {
    const auto at = text.find(part);
    if (at == std::string::npos) ADD_FAILURE() << "no " << part;
    return text.replace(at, part.size(), instead);
}
const CommandValidator& validator() {
    static const CommandValidator j(parsed(node_test::config_json()));
    return j;
}
const std::string customer = "00000000b4d65521", id = "9b1f03aa5c7e2d41";
Request ask(const std::string& list, const std::string& who = customer,
            const std::string& name = id) {
    return validator().validate({"SVC.QUERY", who, name, list});
}
Request put(const std::string& list) {
    return validator().validate({"SVC.SUBMIT", customer, id, list, "BODY"});
}
}  // namespace

TEST(NodeConfig, IsReadWhole) {
    const NodeConfig c = parsed(node_test::config_json());
    EXPECT_EQ(c.listen.to_string(), "127.0.0.1:0");
    EXPECT_EQ(c.seed, 0x8c1f30d27a5be964u);
    EXPECT_EQ(c.limits.sockets, 256);
    EXPECT_EQ(c.settings.classes.size(), 2u);
    EXPECT_EQ(c.settings.plans.front().name, "team");
    EXPECT_EQ(c.connect_timeout, 250ms);
    ASSERT_EQ(c.known.targets.size(), 1u);
    EXPECT_EQ(c.known.targets[0].entry.id, "s-1");
    EXPECT_EQ(c.known.targets[0].entry.cell, 3);
}

TEST(NodeConfig, ErrorsAreOnePlainLineThatNamesTheKey) {
    const std::string good = node_test::config_json();
    EXPECT_NE(why("{").find("one JSON object"), std::string::npos);
    EXPECT_NE(why(without(good, R"("listen":"127.0.0.1:0",)")).find("listen"), std::string::npos);
    EXPECT_NE(why(without(good, "127.0.0.1:0", "here")).find("listen"), std::string::npos);
    EXPECT_NE(why(without(good, R"("settings")", R"("other")")).find("settings"),
              std::string::npos);
    EXPECT_NE(why(without(good, R"("sockets":256)", R"("sockets":3)")).find("sockets"),
              std::string::npos);
    EXPECT_NE(why(without(good, R"("state":"ready")", R"("state":"odd")")).find("known"),
              std::string::npos);
    EXPECT_NE(why(without(good, R"("rank":0)", R"("rank":7)")).find("rank"), std::string::npos);
    EXPECT_EQ(why(without(good, R"("name":"n0")", R"("name":"n0","new":[1])")), "")
        << "an unknown key";
}

TEST(Targets, HalfOrOddListsAreNone) {
    const std::string good =
        R"({"rev":43,"all":false,"targets":[{"uid":"s-1","endpoint":"10.1.0.18:6379","az":"a","model":"m","pod_group":3,"state":"draining","capacity_hint":1.5,"boot_ms":1700000000123}]})";
    const auto list = read_targets(good);
    ASSERT_TRUE(list);
    EXPECT_EQ(list->revision, 43);
    EXPECT_FALSE(list->whole);
    EXPECT_EQ(list->targets[0].entry.status, EndpointStatus::draining);
    EXPECT_EQ(list->targets[0].entry.started_at, Micros(1700000000123000));
    for (std::size_t n = 0; n < good.size(); ++n)
        EXPECT_FALSE(read_targets(good.substr(0, n))) << n;
    EXPECT_FALSE(read_targets(without(good, "10.1.0.18:6379", "10.1.0.18")));
    EXPECT_TRUE(read_targets(
        without(without(good, R"("endpoint":"10.1.0.18:6379",)"), "draining", "gone")));
}

TEST(CommandValidator, GoodCommandsGoOnUnchangedButForTheTime) {
    const Request q = ask("c=lookup,t=team,d=480,units=2,spread=3,first=1,x=y");
    ASSERT_EQ(q.error, "");
    EXPECT_EQ(q.id, 0x9b1f03aa5c7e2d41u);
    EXPECT_EQ(q.attempt.account, customer);
    EXPECT_EQ(q.attempt.time_remaining, 480ms);
    EXPECT_EQ(q.attempt.units, 2);
    ASSERT_TRUE(q.attempt.subset);
    EXPECT_EQ(q.attempt.subset->size, 3);
    EXPECT_EQ(q.attempt.subset->start, 1);
    const std::string list = "c=lookup,t=team,d=79,units=2,spread=3,first=1,x=y";
    EXPECT_EQ(q.out.with(79900us), "*4\r\n$9\r\nSVC.QUERY\r\n$16\r\n" + customer + "\r\n$16\r\n" +
                                       id + "\r\n$" + std::to_string(list.size()) + "\r\n" + list +
                                       "\r\n");
    EXPECT_NE(q.out.with(10us).find(",d=1,"), std::string::npos);
    const Request s = put("d=480,c=order,t=team,k=5c0f6e1a2b3d4c59");
    ASSERT_EQ(s.error, "");
    EXPECT_TRUE(s.out.with(1s).ends_with("$4\r\nBODY\r\n"));
}

TEST(CommandValidator, NonsenseIsNamed) {
    const std::string rest = ",t=team,d=480,units=1,spread=3,first=1";
    for (const char* list : {"",
                             "c",
                             "c=lookup",
                             "c=none,t=team,d=480",
                             "c=lookup,t=none,d=480",
                             "c=lookup,t=team,d=soon",
                             "c=lookup,t=team,d=-5",
                             "c=lookup,t=team,d=0",
                             "c=lookup,t=team,d=1e3",
                             "c=lookup,t=team,d=480,d=480",
                             "c=lookup,t=team,d=480,units=nan",
                             "c=lookup,t=team,d=480,units=-1",
                             "c=lookup,t=team,d=480,units=0",
                             "c=lookup,t=team,d=480,units=9",
                             "c=lookup,t=team,d=480,units=inf",
                             "c=lookup,t=team,d=480,units=many",
                             "c=lookup,t=team,d=480,spread=4,first=0",
                             "c=lookup,t=team,d=480,spread=0,first=0",
                             "c=lookup,t=team,d=480,spread=2,first=3",
                             "c=lookup,t=team,d=480,spread=2,first=-1",
                             "c=lookup,t=team,d=480,spread=2",
                             "c=lookup,t=team,d=480,",
                             "c=lookup,t=team,d=480,=1",
                             "c=lookup,t=team,d=480,a b=1",
                             "c=order,t=team,d=480,k=5c0f6e1a2b3d4c59",
                             "c=lookup,d=480"})
        EXPECT_NE(ask(list).error, "") << list;
    EXPECT_NE(put("c=order,t=team,d=480").error, "") << "no key";
    EXPECT_NE(put("c=order,t=team,d=480,k=short").error, "");
    EXPECT_NE(put("c=lookup" + rest).error, "") << "of the other command";
    EXPECT_EQ(ask("c=lookup" + rest).error, "");
    for (const char* who : {"", "b4d65521", "0000000200000000", "00000000B4D65521",
                            "-000000000000001", "zzzzzzzzzzzzzzzz"})
        EXPECT_NE(ask("c=lookup" + rest, who).error, "") << who;
    EXPECT_NE(ask("c=lookup" + rest, customer, "").error, "");
    EXPECT_NE(validator().validate({"SVC.QUERY", customer, id}).error, "");
    EXPECT_NE(validator()
                  .validate({"SVC.SUBMIT", customer, id, "c=order,t=team,d=480,k=5c0f6e1a2b3d4c59"})
                  .error,
              "");
}

TEST(CommandValidator, ADeadlineBeyondTheClassIsCut) {
    EXPECT_EQ(ask("c=lookup,t=team,d=3000000").attempt.time_remaining, 2s);
}
