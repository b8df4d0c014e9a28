// Accept that fails for a moment, in service and in a drain, and a lasting want of descriptors.
#include "tests/faults/rig.h"

using namespace fault_test;

namespace {
bool is_answer(const std::string& got) {
    return replies(got).size() == 1;
}
}  // namespace

TEST(DrainAccept, ConnectionsThatWaitWhileAcceptFailsAreStillTaken) {
    for (const int error : {ENOBUFS, ENOMEM, EMFILE, EPROTO, ENETDOWN, EHOSTUNREACH}) {
        FaultNode n;
        ASSERT_TRUE(n.start());
        n.process->signal(SIGTERM);
        n.run_for(300ms);
        n.process->faults.fail(faults::accept4_call, error, faults::unlimited, 450ms);
        n.run_for(50ms);
        std::vector<std::unique_ptr<Client>> clients;
        for (std::uint64_t id = 1; id <= 4; ++id) {
            clients.push_back(n.connect());
            clients.back()->stream.write(query(id));
        }
        n.run_until(
            [&] {
                return std::all_of(clients.begin(), clients.end(),
                                   [](auto& c) { return !c->received.empty() || c->is_closed(); });
            },
            3s);
        EXPECT_GT(n.process->faults.failed_calls(faults::accept4_call), 0);
        for (auto& c : clients)
            EXPECT_TRUE(is_answer(c->received))
                << "error " << error << ", got '" << c->received << "'";
        clients.clear();
        EXPECT_TRUE(n.run_until([&] { return n.process->exit_status().has_value(); }, 4s));
        EXPECT_EQ(n.process->wait_for_exit(), 0);
    }
}

TEST(Accept, AShortageOfAMomentSacrificesNobody) {
    for (const int error : {ENFILE, EMFILE}) {
        FaultNode n;
        ASSERT_TRUE(n.start());
        n.process->faults.fail(faults::accept4_call, error, 1, 2s);
        EXPECT_TRUE(n.serves(1)) << error;
        EXPECT_EQ(n.process->faults.failed_calls(faults::accept4_call), 1);
        // And one that lasts: what has come is answered when it is over.
        n.process->faults.fail(faults::accept4_call, error, faults::unlimited, 700ms);
        EXPECT_TRUE(n.serves(2)) << error;
    }
}

TEST(Accept, WhereDescriptorsAreShortIdleConnectionsGoBeforeRequests) {
    FaultNode n;
    ASSERT_TRUE(n.start());
    EXPECT_TRUE(n.serves(1));
    std::vector<std::unique_ptr<Client>> idle;
    for (int i = 0; i < 12; ++i) {
        idle.push_back(n.connect());
        idle.back()->stream.write("*1\r\n$4\r\nPING\r\n");
    }
    ASSERT_TRUE(n.run_until([&] {
        return std::all_of(idle.begin(), idle.end(),
                           [](auto& c) { return c->received.size() == 7; });
    }));
    n.run_for(100ms);
    // No descriptor beyond those that are open now.
    const std::string folder = "/proc/" + std::to_string(n.process->pid()) + "/fd/";
    rlim_t lowest_free = 0;
    while (::access((folder + std::to_string(lowest_free)).c_str(), F_OK) == 0)
        ++lowest_free;
    const rlimit limit{lowest_free, lowest_free};
    ASSERT_EQ(::prlimit(n.process->pid(), RLIMIT_NOFILE, &limit, nullptr), 0);
    for (std::uint64_t id = 2; id <= 5; ++id)
        EXPECT_TRUE(is_answer(n.talk(query(id), 4))) << "request " << id << " on a new connection";
    EXPECT_TRUE(n.runs());
}
