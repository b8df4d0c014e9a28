// The watch against a discovery that says what it is told to, with short time limits.
#include "platform/object_reader.h"
#include "tests/node/rig.h"

using namespace node_test;

namespace {
const std::string one =
    R"({"uid":"s-1","endpoint":"127.0.0.1:2","az":"a","model":"m","pod_group":3,"state":"ready","capacity_hint":1,"boot_ms":0})";

struct Watching : test_support::OnLoop {
    Discovery discovery{loop};
    std::vector<platform::TargetList> lists;
    std::unique_ptr<discovery::Watch> watch;
    // `wait`: before another call that is not made at once; `first`: for the first object; `lived`:
    // to be followed at once.
    explicit Watching(Micros wait = 10ms, Micros first = 10s, Micros lived = 0s) {
        discovery::Watch::Hooks hooks;
        hooks.changed = [this](platform::TargetList list) { lists.push_back(std::move(list)); };
        hooks.lost = [](const std::string&) {};
        discovery::Watch::Times times;
        times.silent = 1s, times.first = first, times.wait_first = wait, times.wait_most = 2 * wait;
        times.look = 10ms, times.lived = lived;
        watch = std::make_unique<discovery::Watch>(
            loop, config::Endpoint{"127.0.0.1", discovery.listener.port(), false}, 41,
            std::move(hooks), times);
        EXPECT_TRUE(asked(1));
    }
    bool asked(std::size_t n) {
        return run([&] { return discovery.asked.size() == n; }, 2s);
    }
    bool told(std::size_t n) {
        return run([&] { return lists.size() == n; }, 2s);
    }
};
const std::string whole = "GET /v1/endpoints?follow=1 HTTP/1.1";
}  // namespace

TEST(ObjectReader, AnObjectEndsWhereItsBracesClose) {
    const std::string object = "{\n \"a\": [ {\"b\": \"}]\\\"{\"} ],\n \"c\": {} }";
    const std::string stream = "\r\n" + object + "\n\n" + object + "{}";
    for (std::size_t size = 1; size <= stream.size(); ++size) {
        platform::ObjectReader reader;
        std::vector<std::string> got;
        for (std::size_t at = 0; at < stream.size(); at += size) {
            std::string_view piece = std::string_view(stream).substr(at, size);
            while (!piece.empty())
                if (reader.look(piece) == platform::ObjectReader::Got::whole)
                    got.push_back(reader.take());
        }
        ASSERT_EQ(got, (std::vector<std::string>{object, object, "{}"})) << "in pieces of " << size;
        EXPECT_TRUE(reader.between());
    }
    for (const char* bad : {"x", "]", "\"{}\"", "[{}]", "{\"uid\":\"s-\n"}) {
        platform::ObjectReader reader;
        std::string_view bytes = bad;
        EXPECT_EQ(reader.look(bytes), platform::ObjectReader::Got::broken) << bad;
    }
    platform::ObjectReader small(100);
    const std::string endless = "{" + std::string(200, ' ');
    std::string_view bytes = endless;
    EXPECT_EQ(small.look(bytes), platform::ObjectReader::Got::broken);
}

TEST(Watch, AListMayComeIndentedAndInPieces) {
    Watching w;
    const std::string text =
        "{\n  \"rev\": 42,\n  \"all\": false,\n  \"targets\": [\n    " + one + "\n  ]\n}\n";
    for (std::size_t i = 0; i < text.size(); i += 7) {
        w.discovery.say(*w.discovery.peers[0], text.substr(i, 7));
        w.pass(1ms);
    }
    ASSERT_TRUE(w.told(1));
    EXPECT_EQ(w.lists[0].revision, 42);
    EXPECT_EQ(w.discovery.asked.size(), 1u) << "nothing was wrong with it";
}

TEST(Watch, AfterAnObjectThatCannotBeReadTheWholeListIsAskedForAtOnce) {
    for (const char* bad :
         {R"({"rev":42,"all":true,"targets":[{"uid":}]})", "noise", R"({"rev":"x"})"}) {
        Watching w(60s);
        w.discovery.say(Discovery::list(42, false, one));
        ASSERT_TRUE(w.told(1));
        w.discovery.say(bad);
        ASSERT_TRUE(w.asked(2)) << "without any wait: " << bad;
        EXPECT_EQ(w.discovery.asked[1], whole);
        w.discovery.say(Discovery::list(43, true, one));
        EXPECT_TRUE(w.told(2));
    }
}

TEST(Watch, AnOlderRevisionAndAListOfNobodyAreBelievedOnlyTheSecondTime) {
    for (const std::string& odd : {Discovery::list(17, true, one), Discovery::list(44, true, "")}) {
        Watching w;
        w.discovery.say(odd);
        ASSERT_TRUE(w.asked(2));
        EXPECT_EQ(w.discovery.asked[1], whole);
        EXPECT_TRUE(w.lists.empty());
        w.discovery.say(odd);
        EXPECT_TRUE(w.told(1));
    }
    Watching w;
    w.discovery.say(Discovery::list(17, false, one));
    ASSERT_TRUE(w.asked(2));
    w.discovery.say(Discovery::list(45, true, one));
    ASSERT_TRUE(w.told(1));
    EXPECT_EQ(w.lists[0].revision, 45) << "the truth";
}

TEST(Watch, SilenceIsSeenAndBytesThatMakeNoObjectAreNoLife) {
    Watching w;
    w.discovery.say(Discovery::list(42, false, one));
    ASSERT_TRUE(w.told(1));
    for (int i = 0; i < 24; ++i) {  // empty lines are
        w.pass(50ms);
        w.discovery.say("");
    }
    EXPECT_EQ(w.discovery.asked.size(), 1u);
    w.discovery.say(*w.discovery.peers[0], "{\"rev\":43,");
    for (int i = 0; i < 60 && w.discovery.asked.size() == 1; ++i) {
        w.discovery.say(*w.discovery.peers[0], "      ");
        w.pass(50ms);
    }
    ASSERT_EQ(w.discovery.asked.size(), 2u);
    EXPECT_EQ(w.discovery.asked[1], "GET /v1/endpoints?follow=1&since=42 HTTP/1.1");
}

TEST(Watch, AServiceThatTakesTheCallAndSaysNothingIsCalledAgain) {
    Watching w(10ms, 200ms);
    ASSERT_TRUE(w.asked(2)) << "the first object is due at once";
    ASSERT_TRUE(w.asked(3));
    w.discovery.say(Discovery::list(42, false, one));
    EXPECT_TRUE(w.told(1));
}

TEST(Watch, OneThatEndsInsteadOfTellingIsFollowedAtOnce) {
    Watching w(60s);
    w.discovery.say(Discovery::list(42, false, one));
    ASSERT_TRUE(w.told(1));
    w.discovery.peers[0]->stream.close();
    ASSERT_TRUE(w.asked(2)) << "without any wait";
    EXPECT_EQ(w.discovery.asked[1], "GET /v1/endpoints?follow=1&since=42 HTTP/1.1");
}

TEST(Watch, AServiceThatEndsEachWatchIsNotCalledWithoutAPause) {
    Watching w(100ms, 10s, 10s);
    w.discovery.first = Discovery::list(42, false, one);
    const auto from = event::Loop::clock();
    w.discovery.say(w.discovery.first);
    for (std::size_t n = 1; n <= 4; ++n) {
        ASSERT_TRUE(w.told(n));
        w.discovery.peers.back()->stream.close();
    }
    EXPECT_GE(event::Loop::clock() - from, 500ms) << "100, 200 and 200 ms between them";
}
