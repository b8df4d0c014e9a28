// Reading the platform's configuration, lists of hosts and commands: valid ones, and ones with a
// single error.
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
NodeConfig parse_config(const std::string& text) {
    return read_config(text, no_variable);
}
std::string error_of(const std::string& text) {
    try {
        parse_config(text);
    } catch (const std::invalid_argument& error) {
        return error.what();
    }
    return "";
}
std::string replace_once(std::string text, const std::string& original,
                         const std::string& replacement = "") {
    const auto position = text.find(original);
    if (position == std::string::npos) ADD_FAILURE() << "no " << original;
    return text.replace(position, original.size(), replacement);
}
const CommandValidator& validator() {
    static const CommandValidator command_validator(parse_config(node_test::config_json()));
    return command_validator;
}
const std::string customer = "00000000b4d65521", id = "9b1f03aa5c7e2d41";
Request validate_query(const std::string& list, const std::string& customer_text = customer,
                       const std::string& id_text = id) {
    return validator().validate({"SVC.QUERY", customer_text, id_text, list});
}
Request validate_submit(const std::string& list) {
    return validator().validate({"SVC.SUBMIT", customer, id, list, "BODY"});
}
}  // namespace

TEST(NodeConfig, AllKeysAreRead) {
    const NodeConfig config = parse_config(node_test::config_json());
    EXPECT_EQ(config.listen.to_string(), "127.0.0.1:0");
    EXPECT_EQ(config.seed, 0x8c1f30d27a5be964u);
    EXPECT_EQ(config.limits.sockets, 256);
    EXPECT_EQ(config.settings.classes.size(), 2u);
    EXPECT_EQ(config.settings.plans.front().name, "team");
    EXPECT_EQ(config.connect_timeout, 250ms);
    ASSERT_EQ(config.initial_list.targets.size(), 1u);
    EXPECT_EQ(config.initial_list.targets[0].entry.id, "s-1");
    EXPECT_EQ(config.initial_list.targets[0].entry.cell, 3);
}

// Guards against numbers out of range that wrap or have no defined conversion.
TEST(NodeConfig, NumbersOutOfRangeAreErrors) {
    const std::string valid = node_test::config_json();
    const auto with_limit = [&](const std::string& name, const std::string& number) {
        const auto start = valid.find("\"" + name + "\":") + name.size() + 3;
        const auto end = valid.find_first_of(",}", start);
        return valid.substr(0, start) + number + valid.substr(end);
    };
    EXPECT_EQ(error_of(with_limit("sockets", "4294967552")),
              "sockets: expected an integer of 32 bits");
    EXPECT_TRUE(error_of(with_limit("memory_mb", "1e30")).starts_with("limits.memory_mb"));
    EXPECT_TRUE(error_of(with_limit("memory_mb", "-1e30")).starts_with("limits.memory_mb"));
    EXPECT_EQ(error_of(with_limit("sockets", "1e400")), "configuration: expected one JSON object");
}

TEST(TargetList, NumbersOutOfRangeAreErrors) {
    const auto list = [](const std::string& boot_ms) {
        return R"({"rev":1,"all":true,"targets":[{"uid":"s-1","endpoint":"127.0.0.1:1","az":"a","model":"m","pod_group":3,"state":"ready","capacity_hint":1,"boot_ms":)" +
               boot_ms + "}]}";
    };
    EXPECT_TRUE(read_targets(list("1790000000000")));
    EXPECT_FALSE(read_targets(list("4611686018427387904")));
    EXPECT_FALSE(read_targets(list("-4611686018427387904")));
    EXPECT_FALSE(read_targets(list("1e400")));
}

TEST(NodeConfig, ErrorsNameTheKey) {
    const std::string good = node_test::config_json();
    EXPECT_NE(error_of("{").find("one JSON object"), std::string::npos);
    EXPECT_NE(error_of(replace_once(good, R"("listen":"127.0.0.1:0",)")).find("listen"),
              std::string::npos);
    EXPECT_NE(error_of(replace_once(good, "127.0.0.1:0", "here")).find("listen"),
              std::string::npos);
    EXPECT_NE(error_of(replace_once(good, R"("settings")", R"("other")")).find("settings"),
              std::string::npos);
    EXPECT_NE(error_of(replace_once(good, R"("sockets":256)", R"("sockets":3)")).find("sockets"),
              std::string::npos);
    EXPECT_NE(error_of(replace_once(good, R"("state":"ready")", R"("state":"odd")")).find("known"),
              std::string::npos);
    EXPECT_NE(error_of(replace_once(good, R"("rank":0)", R"("rank":7)")).find("rank"),
              std::string::npos);
    EXPECT_EQ(error_of(replace_once(good, R"("name":"n0")", R"("name":"n0","new":[1])")), "")
        << "an unknown key";
}

TEST(Targets, IncompleteOrInvalidListsAreRejected) {
    const std::string good =
        R"({"rev":43,"all":false,"targets":[{"uid":"s-1","endpoint":"10.1.0.18:6379","az":"a","model":"m","pod_group":3,"state":"draining","capacity_hint":1.5,"boot_ms":1700000000123}]})";
    const auto list = read_targets(good);
    ASSERT_TRUE(list);
    EXPECT_EQ(list->revision, 43);
    EXPECT_FALSE(list->complete);
    EXPECT_EQ(list->targets[0].entry.status, EndpointStatus::draining);
    EXPECT_EQ(list->targets[0].entry.started_at, Micros(1700000000123000));
    for (std::size_t length = 0; length < good.size(); ++length)
        EXPECT_FALSE(read_targets(good.substr(0, length))) << length;
    EXPECT_FALSE(read_targets(replace_once(good, "10.1.0.18:6379", "10.1.0.18")));
    EXPECT_TRUE(read_targets(
        replace_once(replace_once(good, R"("endpoint":"10.1.0.18:6379",)"), "draining", "gone")));
}

TEST(CommandValidator, ValidCommandsAreForwardedWithTheRemainingTime) {
    const Request query = validate_query("c=lookup,t=team,d=480,units=2,spread=3,first=1,x=y");
    ASSERT_EQ(query.error, "");
    EXPECT_EQ(query.id, 0x9b1f03aa5c7e2d41u);
    EXPECT_EQ(query.client_request.account, customer);
    EXPECT_EQ(query.client_request.time_remaining, 480ms);
    EXPECT_EQ(query.client_request.units, 2);
    ASSERT_TRUE(query.client_request.subset);
    EXPECT_EQ(query.client_request.subset->size, 3);
    EXPECT_EQ(query.client_request.subset->start, 1);
    const std::string list = "c=lookup,t=team,d=79,units=2,spread=3,first=1,x=y";
    EXPECT_EQ(query.upstream_command.serialize(79900us),
              "*4\r\n$9\r\nSVC.QUERY\r\n$16\r\n" + customer + "\r\n$16\r\n" + id + "\r\n$" +
                  std::to_string(list.size()) + "\r\n" + list + "\r\n");
    EXPECT_NE(query.upstream_command.serialize(10us).find(",d=1,"), std::string::npos);
    const Request submit = validate_submit("d=480,c=order,t=team,k=5c0f6e1a2b3d4c59");
    ASSERT_EQ(submit.error, "");
    EXPECT_TRUE(submit.upstream_command.serialize(1s).ends_with("$4\r\nBODY\r\n"));
}

TEST(CommandValidator, InvalidCommandsAreRejectedWithAReason) {
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
        EXPECT_NE(validate_query(list).error, "") << list;
    EXPECT_NE(validate_submit("c=order,t=team,d=480").error, "") << "no key";
    EXPECT_NE(validate_submit("c=order,t=team,d=480,k=short").error, "");
    EXPECT_NE(validate_submit("c=lookup" + rest).error, "") << "of the other command";
    EXPECT_EQ(validate_query("c=lookup" + rest).error, "");
    for (const char* customer_text : {"", "b4d65521", "0000000200000000", "00000000B4D65521",
                                      "-000000000000001", "zzzzzzzzzzzzzzzz"})
        EXPECT_NE(validate_query("c=lookup" + rest, customer_text).error, "") << customer_text;
    EXPECT_NE(validate_query("c=lookup" + rest, customer, "").error, "");
    EXPECT_NE(validator().validate({"SVC.QUERY", customer, id}).error, "");
    EXPECT_NE(validator()
                  .validate({"SVC.SUBMIT", customer, id, "c=order,t=team,d=480,k=5c0f6e1a2b3d4c59"})
                  .error,
              "");
}

TEST(CommandValidator, TimeRemainingIsLimitedToTheClassDeadline) {
    EXPECT_EQ(validate_query("c=lookup,t=team,d=3000000").client_request.time_remaining, 2s);
}
