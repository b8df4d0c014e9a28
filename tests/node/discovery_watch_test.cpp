// DiscoveryWatch against a scripted discovery service, with short timeouts.
#include "discovery/discovery_watch.h"

#include "platform/object_reader.h"
#include "tests/node/rig.h"

using namespace node_test;

namespace {
const std::string one =
    R"({"uid":"s-1","endpoint":"127.0.0.1:2","az":"a","model":"m","pod_group":3,"state":"ready","capacity_hint":1,"boot_ms":0})";

struct Watching : test_support::OnLoop {
    Discovery discovery{loop};
    std::vector<platform::TargetList> lists;
    std::unique_ptr<discovery::DiscoveryWatch> watch;
    explicit Watching(Micros initial_backoff = 10ms, Micros first_list = 10s,
                      Micros stable_after = 0s) {
        discovery::DiscoveryWatch::Callbacks callbacks;
        callbacks.on_list = [this](platform::TargetList list) { lists.push_back(std::move(list)); };
        callbacks.on_unavailable = [](const discovery::DiscoveryError&) {};
        discovery::DiscoveryWatch::Timeouts timeouts;
        timeouts.inactivity = 1s;
        timeouts.first_list = first_list;
        timeouts.initial_backoff = initial_backoff;
        timeouts.max_backoff = 2 * initial_backoff;
        timeouts.check_interval = 10ms;
        timeouts.stable_after = stable_after;
        watch = std::make_unique<discovery::DiscoveryWatch>(
            loop, config::Endpoint{"127.0.0.1", discovery.listener.port(), false}, 41,
            std::move(callbacks), timeouts);
        EXPECT_TRUE(requested(1));
    }
    bool requested(std::size_t n) {
        return run([&] { return discovery.asked.size() == n; }, 2s);
    }
    bool received(std::size_t n) {
        return run([&] { return lists.size() == n; }, 2s);
    }
};
const std::string complete_list_request = "GET /v1/endpoints?follow=1 HTTP/1.1";
}  // namespace

TEST(ObjectReader, AnObjectEndsAtItsClosingBrace) {
    const std::string object = "{\n \"a\": [ {\"b\": \"}]\\\"{\"} ],\n \"c\": {} }";
    const std::string stream = "\r\n" + object + "\n\n" + object + "{}";
    for (std::size_t size = 1; size <= stream.size(); ++size) {
        platform::ObjectReader reader;
        std::vector<std::string> got;
        for (std::size_t at = 0; at < stream.size(); at += size) {
            std::string_view piece = std::string_view(stream).substr(at, size);
            while (!piece.empty())
                if (reader.read(piece) == platform::ObjectReader::Status::complete)
                    got.push_back(reader.take());
        }
        ASSERT_EQ(got, (std::vector<std::string>{object, object, "{}"})) << "in pieces of " << size;
        EXPECT_TRUE(reader.is_between_objects());
    }
    for (const char* bad : {"x", "]", "\"{}\"", "[{}]", "{\"uid\":\"s-\n"}) {
        platform::ObjectReader reader;
        std::string_view bytes = bad;
        EXPECT_EQ(reader.read(bytes), platform::ObjectReader::Status::malformed) << bad;
    }
    platform::ObjectReader small(100);
    const std::string endless = "{" + std::string(200, ' ');
    std::string_view bytes = endless;
    EXPECT_EQ(small.read(bytes), platform::ObjectReader::Status::malformed);
}

TEST(DiscoveryWatch, AcceptsAnIndentedListInSmallChunks) {
    Watching w;
    const std::string text =
        "{\n  \"rev\": 42,\n  \"all\": false,\n  \"targets\": [\n    " + one + "\n  ]\n}\n";
    for (std::size_t i = 0; i < text.size(); i += 7) {
        w.discovery.say(*w.discovery.peers[0], text.substr(i, 7));
        w.pass(1ms);
    }
    ASSERT_TRUE(w.received(1));
    EXPECT_EQ(w.lists[0].revision, 42);
    EXPECT_EQ(w.discovery.asked.size(), 1u) << "a valid list causes no new request";
}

TEST(DiscoveryWatch, AMalformedListIsFollowedByARequestForTheCompleteList) {
    for (const char* bad :
         {R"({"rev":42,"all":true,"targets":[{"uid":}]})", "noise", R"({"rev":"x"})"}) {
        Watching w(60s);
        w.discovery.say(Discovery::list(42, false, one));
        ASSERT_TRUE(w.received(1));
        w.discovery.say(bad);
        ASSERT_TRUE(w.requested(2)) << "the next request follows without backoff after: " << bad;
        EXPECT_EQ(w.discovery.asked[1], complete_list_request);
        w.discovery.say(Discovery::list(43, true, one));
        EXPECT_TRUE(w.received(2));
    }
}

TEST(DiscoveryWatch, AnOlderRevisionAndAnEmptyListAreAcceptedOnceConfirmed) {
    for (const std::string& odd : {Discovery::list(17, true, one), Discovery::list(44, true, "")}) {
        Watching w;
        w.discovery.say(odd);
        ASSERT_TRUE(w.requested(2));
        EXPECT_EQ(w.discovery.asked[1], complete_list_request);
        EXPECT_TRUE(w.lists.empty());
        w.discovery.say(odd);
        EXPECT_TRUE(w.received(1));
    }
    Watching w;
    w.discovery.say(Discovery::list(17, false, one));
    ASSERT_TRUE(w.requested(2));
    w.discovery.say(Discovery::list(45, true, one));
    ASSERT_TRUE(w.received(1));
    EXPECT_EQ(w.lists[0].revision, 45) << "the complete list replaces the older revision";
}

TEST(DiscoveryWatch, OnlyCompleteObjectsAndEmptyLinesCountAsActivity) {
    Watching w;
    w.discovery.say(Discovery::list(42, false, one));
    ASSERT_TRUE(w.received(1));
    for (int i = 0; i < 24; ++i) {  // empty lines count as activity
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

TEST(DiscoveryWatch, ASilentServiceIsCalledAgainAfterTheFirstListTimeout) {
    Watching w(10ms, 200ms);
    ASSERT_TRUE(w.requested(2)) << "the watch is repeated after the first-list timeout";
    ASSERT_TRUE(w.requested(3));
    w.discovery.say(Discovery::list(42, false, one));
    EXPECT_TRUE(w.received(1));
}

TEST(DiscoveryWatch, AStableWatchThatEndsIsResumedWithoutBackoff) {
    Watching w(60s);
    w.discovery.say(Discovery::list(42, false, one));
    ASSERT_TRUE(w.received(1));
    w.discovery.peers[0]->stream.close();
    ASSERT_TRUE(w.requested(2)) << "the next request follows without backoff";
    EXPECT_EQ(w.discovery.asked[1], "GET /v1/endpoints?follow=1&since=42 HTTP/1.1");
}

TEST(DiscoveryWatch, AServiceThatEndsEachWatchIsCalledWithBackoff) {
    Watching w(100ms, 10s, 10s);
    w.discovery.first = Discovery::list(42, false, one);
    const auto from = event::Loop::clock();
    w.discovery.say(w.discovery.first);
    for (std::size_t n = 1; n <= 4; ++n) {
        ASSERT_TRUE(w.received(n));
        w.discovery.peers.back()->stream.close();
    }
    EXPECT_GE(event::Loop::clock() - from, 500ms) << "backoffs of 100, 200 and 200 ms";
}
