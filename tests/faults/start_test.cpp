// Guards against a start or a configuration reload that gives up on a transient error of a system
// call, and against a start that retries a permanent error for ever.
#include "tests/faults/fault_node.h"

using namespace fault_test;

namespace {
std::string with_peers(std::string config) {
    const std::string listen_address =
        test_support::own_address() + ":" + std::to_string(test_support::free_port());
    const auto unused_address = [] {
        return "\"" + test_support::own_address() + ":" +
               std::to_string(test_support::free_port()) + "\"";
    };
    config = replace_once(std::move(config), "\"peers\":false", "\"peers\":true");
    return replace_once(std::move(config), "\"seed\":",
                        R"("peer_listen":")" + listen_address + R"(","peers":[")" + listen_address +
                            "\"," + unused_address() + "," + unused_address() + "],\"seed\":");
}
}  // namespace

TEST(Start, RetriesTransientErrors) {
    struct Case {
        faults::SystemCall call;
        int error;
    };
    for (const Case test_case :
         {Case{faults::socket_call, ENFILE}, Case{faults::bind_call, EADDRINUSE},
          Case{faults::listen_call, EADDRINUSE}, Case{faults::open_call, EMFILE},
          Case{faults::read_call, EIO}, Case{faults::epoll_ctl_call, ENOMEM}}) {
        for (const int times : {1, 2}) {
            FaultNode node(1, with_peers);
            node.process->faults.fail(test_case.call, test_case.error, times, 10s);
            EXPECT_TRUE(node.start()) << "call " << test_case.call << "\n" << node.process->log();
            EXPECT_EQ(node.process->faults.failed_calls(test_case.call), times);
            EXPECT_TRUE(node.serves_request(1)) << "call " << test_case.call;
        }
    }
}

TEST(Start, EndsWithAnErrorAfterABoundedTimeIfBindKeepsFailing) {
    FaultNode node;
    node.process->faults.fail(faults::bind_call, EADDRINUSE, faults::unlimited, 60s);
    const Micros started_at = event::Loop::clock();
    node.process->start();
    ASSERT_TRUE(node.run_until([&] { return node.process->exit_status().has_value(); }, 20s));
    EXPECT_GT((event::Loop::clock() - started_at).count(), Micros(2s).count());
    EXPECT_EQ(WEXITSTATUS(node.process->wait_for_exit()), 3);
    EXPECT_NE(node.process->log().find("start_delayed"), std::string::npos) << node.process->log();
    EXPECT_NE(node.process->log().find("Address already in use"), std::string::npos)
        << node.process->log();
}

TEST(Reload, RetriesUntilTheFileIsCompleteAndReadable) {
    for (const bool is_truncated : {true, false}) {
        FaultNode node;
        ASSERT_TRUE(node.start());
        Discovery new_discovery(node.loop);
        const std::string new_config =
            replace_once(node.config, node.discovery->address(), new_discovery.address());
        if (is_truncated) {
            node.process->write_file(new_config.substr(0, new_config.size() / 2));
        } else {
            node.process->configure(new_config);
            node.process->faults.fail(faults::open_call, EMFILE, faults::unlimited, 300ms);
        }
        node.process->signal(SIGHUP);
        node.process->signal(SIGHUP);
        node.run_for(300ms);
        EXPECT_TRUE(node.serves_request(1))
            << "the previous configuration must serve until the reload";
        if (is_truncated) node.process->configure(new_config);
        EXPECT_TRUE(node.run_until([&] { return !new_discovery.request_lines.empty(); }, 3s))
            << node.process->log();
    }
}

TEST(Start, SigtermDuringRetriesEndsTheProcessWithoutError) {
    FaultNode node;
    node.process->faults.fail(faults::bind_call, EADDRINUSE, faults::unlimited, 60s);
    node.process->start();
    ASSERT_TRUE(node.run_until(
        [&] { return node.process->faults.failed_calls(faults::bind_call) > 2; }, 3s));
    node.process->signal(SIGTERM);
    EXPECT_TRUE(node.run_until([&] { return node.process->exit_status().has_value(); }, 1s));
    EXPECT_EQ(node.process->wait_for_exit(), 0);
}
