// Guards against deadlines passed to hosts that exceed the time the client has left. The time may
// be spent in the client's queue, while a host connection is pending, or while the process is
// stopped.
#include "tests/faults/fault_node.h"

using namespace fault_test;

namespace {
constexpr auto tolerance = 150ms;
struct ReceivedAttempt {
    Micros elapsed{0};  // since the client's write
    Micros passed_deadline{0};
};
std::string with_long_promise(std::string config) {
    return replace_once(std::move(config), "\"promiseUs\":600000", "\"promiseUs\":1950000");
}
}  // namespace

TEST(Deadline, QueuedCommandsPassOnlyTheRemainingTime) {
    FaultNode node(2, with_long_promise);
    std::vector<ReceivedAttempt> attempts;
    Micros written_at{0};
    for (auto& host : node.hosts)
        host->respond = [&](ScriptedServer::Peer& peer, const Arguments& words) {
            attempts.push_back({event::Loop::clock() - written_at,
                                std::chrono::milliseconds(list_value(words, "d"))});
            node.loop.after(300ms, [&peer, value = "for " + words[2]] {
                if (!peer.is_closed) peer.stream.write(host_response(value));
            });
        };
    ASSERT_TRUE(node.start());
    auto client = node.connect();
    std::string requests;
    constexpr int request_count = 400;
    for (int i = 1; i <= request_count; ++i)
        requests +=
            query(static_cast<std::uint64_t>(i), "c=lookup,t=team,d=1500,units=1,spread=1,first=0");
    written_at = event::Loop::clock();
    client->stream.write(requests);
    EXPECT_TRUE(
        node.run_until([&] { return replies(client->received).size() == request_count; }, 8s))
        << replies(client->received).size();
    EXPECT_GE(attempts.size(), 4u);
    for (const ReceivedAttempt& attempt : attempts) {
        EXPECT_LE(attempt.elapsed.count(), Micros(1500ms).count())
            << "attempt after the client's deadline";
        EXPECT_LE((attempt.passed_deadline + attempt.elapsed).count(),
                  Micros(1500ms + tolerance).count())
            << "the passed deadline is too long";
    }
}

TEST(Deadline, DelayedHostConnectionGetsTheRemainingTime) {
    DelayedAcceptHost delayed_host;
    FaultNode node(
        0,
        [](std::string config) {
            return replace_once(with_long_promise(std::move(config)), "\"connectTimeoutUs\":250000",
                                "\"connectTimeoutUs\":3000000");
        },
        target(delayed_host));
    ASSERT_TRUE(node.start());
    auto client = node.connect();
    const Micros written_at = event::Loop::clock();
    client->stream.write(query(1, "c=lookup,t=team,d=1900,units=1,spread=1,first=0"));
    node.run_for(50ms);
    ASSERT_TRUE(node.run_until([&] { return delayed_host.received_bytes() > 0; }, 2500ms));
    const Micros elapsed = event::Loop::clock() - written_at;
    EXPECT_GT(elapsed.count(), Micros(500ms).count()) << "the connection was not delayed";
    resp::CommandParser parser;
    ASSERT_EQ(parser.parse(delayed_host.received_text()), resp::ParseStatus::complete);
    const Arguments words = {"", "", "",
                             std::string(parser.argument(delayed_host.received_text(), 3))};
    EXPECT_LE(list_value(words, "d"), 1900 - elapsed.count() / 1000 + 150);
    EXPECT_GT(list_value(words, "d"), 0);
}

TEST(Deadline, KeyedRequestIsNotRepeatedAfterItsRepeatWindow) {
    DelayedAcceptHost delayed_host;
    FaultNode node(1, [](std::string config) {
        config = replace_once(std::move(config), "\"connectTimeoutUs\":250000",
                              "\"connectTimeoutUs\":3000000");
        config = replace_once(std::move(config), "\"promiseUs\":750000", "\"promiseUs\":1950000");
        return replace_once(std::move(config), "\"repeatWindowUs\":1200000",
                            "\"repeatWindowUs\":800000");
    });
    ScriptedServer::Peer* first_peer = nullptr;
    node.hosts[0]->respond = [&](ScriptedServer::Peer& peer, const Arguments&) {
        first_peer = &peer;
    };
    ASSERT_TRUE(node.start());
    ASSERT_TRUE(node.run_until([&] { return !node.discovery->request_lines.empty(); }));
    auto client = node.connect();
    client->stream.write(replace_once(submit(1, "SHEET"), "d=1500", "d=1900"));
    ASSERT_TRUE(node.run_until([&] { return first_peer != nullptr; }));
    // The host of the first attempt drains and resets its connection; the delayed host is the only
    // other one in its cell.
    node.discovery->send_line(
        Discovery::list(42, false,
                        node.hosts[0]->target("s-1", "draining") + "," +
                            replace_once(target(delayed_host), "s-1", "s-2")));
    node.run_for(50ms);
    first_peer->stream.reset();
    node.run_for(
        100ms);  // the node connects to the delayed host before that accepts any connection
    node.run_until([&] { return delayed_host.received_bytes() > 0; }, 1800ms);
    EXPECT_EQ(delayed_host.received_bytes(), 0u)
        << "the repeat window ended before the connection was established";
    node.run_until([&] { return !client->received.empty(); }, 500ms);
    EXPECT_EQ(client->received.substr(0, 1), "-");
}

TEST(Deadline, TimeInAStoppedProcessIsDeducted) {
    for (const bool new_connection : {false, true}) {
        FaultNode node(1, with_long_promise);
        std::vector<ReceivedAttempt> attempts;
        Micros written_at{0};
        node.hosts[0]->respond = [&](ScriptedServer::Peer& peer, const Arguments& words) {
            attempts.push_back({event::Loop::clock() - written_at,
                                std::chrono::milliseconds(list_value(words, "d"))});
            peer.stream.write(host_response("for " + words[2]));
        };
        ASSERT_TRUE(node.start());
        auto client = node.connect();
        client->stream.write("*1\r\n$4\r\nPING\r\n");
        ASSERT_TRUE(node.run_until([&] { return client->received.size() == 7; }));
        node.process->signal(SIGSTOP);
        node.run_for(20ms);
        if (new_connection) client = node.connect();
        written_at = event::Loop::clock();
        client->stream.write(query(1, "c=lookup,t=team,d=1500,units=1,spread=1,first=0"));
        node.run_for(900ms);
        node.process->signal(SIGCONT);
        EXPECT_TRUE(node.run_until([&] { return !attempts.empty(); }, 1s));
        for (const ReceivedAttempt& attempt : attempts) {
            EXPECT_LE((attempt.passed_deadline + attempt.elapsed).count(),
                      Micros(1500ms + tolerance).count())
                << new_connection;
            EXPECT_GT(attempt.passed_deadline.count(), Micros(200ms).count())
                << "too much time was deducted";
        }
    }
}
