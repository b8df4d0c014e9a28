// Guards against clients that are lost when accept4 fails: by a short series of errors in service
// and during a drain, and by a permanent shortage of file descriptors.
#include "tests/faults/fault_node.h"

using namespace fault_test;

namespace {
bool is_one_reply(const std::string& received) {
    return replies(received).size() == 1;
}
}  // namespace

TEST(DrainAccept, PendingConnectionsAreAcceptedAfterAcceptErrors) {
    for (const int error : {ENOBUFS, ENOMEM, EMFILE, EPROTO, ENETDOWN, EHOSTUNREACH}) {
        FaultNode node;
        ASSERT_TRUE(node.start());
        node.process->signal(SIGTERM);
        node.run_for(300ms);
        node.process->faults.fail(faults::accept4_call, error, faults::unlimited, 450ms);
        node.run_for(50ms);
        std::vector<std::unique_ptr<Client>> clients;
        for (std::uint64_t id = 1; id <= 4; ++id) {
            clients.push_back(node.connect());
            clients.back()->stream.write(query(id));
        }
        node.run_until(
            [&] {
                return std::all_of(clients.begin(), clients.end(), [](auto& client) {
                    return !client->received.empty() || client->is_closed();
                });
            },
            3s);
        EXPECT_GT(node.process->faults.failed_calls(faults::accept4_call), 0);
        for (auto& client : clients)
            EXPECT_TRUE(is_one_reply(client->received))
                << "error " << error << ", got '" << client->received << "'";
        clients.clear();
        EXPECT_TRUE(node.run_until([&] { return node.process->exit_status().has_value(); }, 4s));
        EXPECT_EQ(node.process->wait_for_exit(), 0);
    }
}

TEST(Accept, TransientDescriptorShortageLosesNoRequest) {
    for (const int error : {ENFILE, EMFILE}) {
        FaultNode node;
        ASSERT_TRUE(node.start());
        node.process->faults.fail(faults::accept4_call, error, 1, 2s);
        EXPECT_TRUE(node.serves_request(1)) << error;
        EXPECT_EQ(node.process->faults.failed_calls(faults::accept4_call), 1);
        // After a longer shortage, the connections that arrived during it are served.
        node.process->faults.fail(faults::accept4_call, error, faults::unlimited, 700ms);
        EXPECT_TRUE(node.serves_request(2)) << error;
    }
}

TEST(Accept, ClosesIdleConnectionsWhenDescriptorsRunOut) {
    FaultNode node;
    ASSERT_TRUE(node.start());
    EXPECT_TRUE(node.serves_request(1));
    std::vector<std::unique_ptr<Client>> idle_clients;
    for (int i = 0; i < 12; ++i) {
        idle_clients.push_back(node.connect());
        idle_clients.back()->stream.write("*1\r\n$4\r\nPING\r\n");
    }
    ASSERT_TRUE(node.run_until([&] {
        return std::all_of(idle_clients.begin(), idle_clients.end(),
                           [](auto& client) { return client->received.size() == 7; });
    }));
    node.run_for(100ms);
    // Limits the process to the descriptors that are open now.
    const std::string descriptor_directory =
        "/proc/" + std::to_string(node.process->pid()) + "/fd/";
    rlim_t lowest_free = 0;
    while (::access((descriptor_directory + std::to_string(lowest_free)).c_str(), F_OK) == 0)
        ++lowest_free;
    const rlimit limit{lowest_free, lowest_free};
    ASSERT_EQ(::prlimit(node.process->pid(), RLIMIT_NOFILE, &limit, nullptr), 0);
    for (std::uint64_t id = 2; id <= 5; ++id)
        EXPECT_TRUE(is_one_reply(node.exchange(query(id), 4)))
            << "request " << id << " on a new connection";
    EXPECT_TRUE(node.is_running());
}
