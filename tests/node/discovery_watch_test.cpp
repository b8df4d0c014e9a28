// DiscoveryWatch against a scripted discovery service, with short timeouts.
#include "discovery/discovery_watch.h"

#include "platform/object_reader.h"
#include "tests/node/test_node.h"

using namespace node_test;

namespace {
const std::string endpoint_json =
    R"({"uid":"s-1","endpoint":"127.0.0.1:2","az":"a","model":"m","pod_group":3,"state":"ready","capacity_hint":1,"boot_ms":0})";

struct WatchHarness : test_support::LoopRunner {
    Discovery discovery{loop};
    std::vector<platform::TargetList> lists;
    std::unique_ptr<discovery::DiscoveryWatch> watch;
    explicit WatchHarness(Micros initial_backoff = 10ms, Micros first_list = 10s,
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
        EXPECT_TRUE(wait_for_requests(1));
    }
    bool wait_for_requests(std::size_t count) {
        return run_until([&] { return discovery.request_lines.size() == count; }, 2s);
    }
    bool wait_for_lists(std::size_t count) {
        return run_until([&] { return lists.size() == count; }, 2s);
    }
};
const std::string complete_list_request = "GET /v1/endpoints?follow=1 HTTP/1.1";
}  // namespace

TEST(ObjectReader, AnObjectEndsAtItsClosingBrace) {
    const std::string object = "{\n \"a\": [ {\"b\": \"}]\\\"{\"} ],\n \"c\": {} }";
    const std::string stream = "\r\n" + object + "\n\n" + object + "{}";
    for (std::size_t size = 1; size <= stream.size(); ++size) {
        platform::ObjectReader reader;
        std::vector<std::string> objects;
        for (std::size_t offset = 0; offset < stream.size(); offset += size) {
            std::string_view piece = std::string_view(stream).substr(offset, size);
            while (!piece.empty())
                if (reader.read(piece) == platform::ObjectReader::Status::complete)
                    objects.push_back(reader.take());
        }
        ASSERT_EQ(objects, (std::vector<std::string>{object, object, "{}"}))
            << "in pieces of " << size;
        EXPECT_TRUE(reader.is_between_objects());
    }
    for (const char* malformed : {"x", "]", "\"{}\"", "[{}]", "{\"uid\":\"s-\n"}) {
        platform::ObjectReader reader;
        std::string_view bytes = malformed;
        EXPECT_EQ(reader.read(bytes), platform::ObjectReader::Status::malformed) << malformed;
    }
    platform::ObjectReader small_reader(100);
    const std::string unterminated = "{" + std::string(200, ' ');
    std::string_view bytes = unterminated;
    EXPECT_EQ(small_reader.read(bytes), platform::ObjectReader::Status::malformed);
}

TEST(DiscoveryWatch, AcceptsAnIndentedListInSmallChunks) {
    WatchHarness harness;
    const std::string text = "{\n  \"rev\": 42,\n  \"all\": false,\n  \"targets\": [\n    " +
                             endpoint_json + "\n  ]\n}\n";
    for (std::size_t i = 0; i < text.size(); i += 7) {
        harness.discovery.send_chunk(*harness.discovery.peers[0], text.substr(i, 7));
        harness.run_for(1ms);
    }
    ASSERT_TRUE(harness.wait_for_lists(1));
    EXPECT_EQ(harness.lists[0].revision, 42);
    EXPECT_EQ(harness.discovery.request_lines.size(), 1u) << "a valid list causes no new request";
}

TEST(DiscoveryWatch, AMalformedListIsFollowedByARequestForTheCompleteList) {
    for (const char* malformed :
         {R"({"rev":42,"all":true,"targets":[{"uid":}]})", "noise", R"({"rev":"x"})"}) {
        WatchHarness harness(60s);
        harness.discovery.send_line(Discovery::list(42, false, endpoint_json));
        ASSERT_TRUE(harness.wait_for_lists(1));
        harness.discovery.send_line(malformed);
        ASSERT_TRUE(harness.wait_for_requests(2))
            << "the next request follows without backoff after: " << malformed;
        EXPECT_EQ(harness.discovery.request_lines[1], complete_list_request);
        harness.discovery.send_line(Discovery::list(43, true, endpoint_json));
        EXPECT_TRUE(harness.wait_for_lists(2));
    }
}

TEST(DiscoveryWatch, AnOlderRevisionAndAnEmptyListAreAcceptedOnceConfirmed) {
    for (const std::string& implausible_list :
         {Discovery::list(17, true, endpoint_json), Discovery::list(44, true, "")}) {
        WatchHarness harness;
        harness.discovery.send_line(implausible_list);
        ASSERT_TRUE(harness.wait_for_requests(2));
        EXPECT_EQ(harness.discovery.request_lines[1], complete_list_request);
        EXPECT_TRUE(harness.lists.empty());
        harness.discovery.send_line(implausible_list);
        EXPECT_TRUE(harness.wait_for_lists(1));
    }
    WatchHarness harness;
    harness.discovery.send_line(Discovery::list(17, false, endpoint_json));
    ASSERT_TRUE(harness.wait_for_requests(2));
    harness.discovery.send_line(Discovery::list(45, true, endpoint_json));
    ASSERT_TRUE(harness.wait_for_lists(1));
    EXPECT_EQ(harness.lists[0].revision, 45) << "the complete list replaces the older revision";
}

TEST(DiscoveryWatch, OnlyCompleteObjectsAndEmptyLinesCountAsActivity) {
    WatchHarness harness;
    harness.discovery.send_line(Discovery::list(42, false, endpoint_json));
    ASSERT_TRUE(harness.wait_for_lists(1));
    for (int i = 0; i < 24; ++i) {  // empty lines count as activity
        harness.run_for(50ms);
        harness.discovery.send_line("");
    }
    EXPECT_EQ(harness.discovery.request_lines.size(), 1u);
    harness.discovery.send_chunk(*harness.discovery.peers[0], "{\"rev\":43,");
    for (int i = 0; i < 60 && harness.discovery.request_lines.size() == 1; ++i) {
        harness.discovery.send_chunk(*harness.discovery.peers[0], "      ");
        harness.run_for(50ms);
    }
    ASSERT_EQ(harness.discovery.request_lines.size(), 2u);
    EXPECT_EQ(harness.discovery.request_lines[1], "GET /v1/endpoints?follow=1&since=42 HTTP/1.1");
}

TEST(DiscoveryWatch, ASilentServiceIsCalledAgainAfterTheFirstListTimeout) {
    WatchHarness harness(10ms, 200ms);
    ASSERT_TRUE(harness.wait_for_requests(2))
        << "the watch is repeated after the first-list timeout";
    ASSERT_TRUE(harness.wait_for_requests(3));
    harness.discovery.send_line(Discovery::list(42, false, endpoint_json));
    EXPECT_TRUE(harness.wait_for_lists(1));
}

TEST(DiscoveryWatch, AStableWatchThatEndsIsResumedWithoutBackoff) {
    WatchHarness harness(60s);
    harness.discovery.send_line(Discovery::list(42, false, endpoint_json));
    ASSERT_TRUE(harness.wait_for_lists(1));
    harness.discovery.peers[0]->stream.close();
    ASSERT_TRUE(harness.wait_for_requests(2)) << "the next request follows without backoff";
    EXPECT_EQ(harness.discovery.request_lines[1], "GET /v1/endpoints?follow=1&since=42 HTTP/1.1");
}

TEST(DiscoveryWatch, AServiceThatEndsEachWatchIsCalledWithBackoff) {
    WatchHarness harness(100ms, 10s, 10s);
    harness.discovery.initial_list = Discovery::list(42, false, endpoint_json);
    const auto start = event::Loop::clock();
    harness.discovery.send_line(harness.discovery.initial_list);
    for (std::size_t n = 1; n <= 4; ++n) {
        ASSERT_TRUE(harness.wait_for_lists(n));
        harness.discovery.peers.back()->stream.close();
    }
    EXPECT_GE(event::Loop::clock() - start, 500ms) << "backoffs of 100, 200 and 200 ms";
}
