// Guards against requests that block on the log: its pipe is full, its reader has closed the pipe,
// or the disk is full. Lines that were not written are counted in log_dropped.
#include <fcntl.h>

#include "tests/faults/fault_node.h"

using namespace fault_test;

namespace {
struct Pipe {
    event::Fd read_end, write_end;
    Pipe() {
        int fds[2];
        EXPECT_EQ(::pipe2(fds, O_CLOEXEC), 0);
        read_end = event::Fd(fds[0]), write_end = event::Fd(fds[1]);
    }
    void fill() const {
        ::fcntl(write_end.get(), F_SETFL, O_NONBLOCK);
        const std::string filler(4096, '.');
        while (::write(write_end.get(), filler.data(), filler.size()) > 0) {
        }
        ::fcntl(write_end.get(), F_SETFL, 0);
    }
    std::string read_all() const {
        ::fcntl(read_end.get(), F_SETFL, O_NONBLOCK);
        std::string text;
        char buffer[65536];
        for (ssize_t size; (size = ::read(read_end.get(), buffer, sizeof buffer)) > 0;)
            text.append(buffer, static_cast<std::size_t>(size));
        return text;
    }
};
// Makes the node log `count` lines, one for each change of the list.
void send_list_changes(FaultNode& node, int first_revision, int count) {
    for (int i = 0; i < count; ++i)
        node.discovery->send_line(
            Discovery::list(first_revision + i, false, node.hosts[0]->target("s-1")));
    node.run_for(50ms);
}
}  // namespace

TEST(Log, FullPipeDoesNotBlockRequests) {
    Pipe pipe;
    pipe.fill();
    FaultNode node;
    ASSERT_TRUE(node.start(pipe.write_end.get()));
    EXPECT_TRUE(node.serves_request(1));
    send_list_changes(node, 42, 20);
    EXPECT_TRUE(node.serves_request(2));
    pipe.read_all();
    send_list_changes(node, 62, 1);
    EXPECT_TRUE(node.run_until(
        [&] { return pipe.read_all().find("log_dropped lines=") != std::string::npos; }, 3s))
        << "the number of dropped lines is not logged after the pipe was read";
    EXPECT_TRUE(node.serves_request(3));
}

TEST(Log, ClosedPipeDoesNotStopTheNode) {
    FaultNode node;
    {
        Pipe pipe;
        ASSERT_TRUE(node.start(pipe.write_end.get()));
    }
    send_list_changes(node, 42, 5);
    EXPECT_TRUE(node.serves_request(1));
    EXPECT_TRUE(node.is_running());
}

TEST(Log, FailedWritesDoNotBlockRequests) {
    for (const int error : {ENOSPC, EIO, EINTR}) {
        FaultNode node;
        ASSERT_TRUE(node.start());
        node.process->faults.fail(faults::write_call, error, faults::unlimited, 300ms);
        send_list_changes(node, 42, 5);
        EXPECT_TRUE(node.serves_request(1));
        EXPECT_GT(node.process->faults.failed_calls(faults::write_call), 0);
        node.run_for(400ms);
        send_list_changes(node, 47, 1);
        EXPECT_TRUE(node.run_until(
            [&] { return node.process->log().find("log_dropped lines=") != std::string::npos; },
            3s))
            << error << "\n"
            << node.process->log();
        EXPECT_TRUE(node.serves_request(2));
    }
}
