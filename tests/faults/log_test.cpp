// A log that nobody reads, or that has no room, never holds up a request; what was not written is
// counted.
#include <fcntl.h>

#include "tests/faults/rig.h"

using namespace fault_test;

namespace {
struct Pipe {
    event::Fd out, in;
    Pipe() {
        int ends[2];
        EXPECT_EQ(::pipe2(ends, O_CLOEXEC), 0);
        out = event::Fd(ends[0]), in = event::Fd(ends[1]);
    }
    void fill() const {
        ::fcntl(in.get(), F_SETFL, O_NONBLOCK);
        const std::string page(4096, '.');
        while (::write(in.get(), page.data(), page.size()) > 0) {
        }
        ::fcntl(in.get(), F_SETFL, 0);
    }
    std::string take() const {
        ::fcntl(out.get(), F_SETFL, O_NONBLOCK);
        std::string got;
        char buffer[65536];
        for (ssize_t n; (n = ::read(out.get(), buffer, sizeof buffer)) > 0;)
            got.append(buffer, static_cast<std::size_t>(n));
        return got;
    }
};
// Many lines: each change of the list is one.
void change_list(FaultNode& n, int from, int changes) {
    for (int i = 0; i < changes; ++i)
        n.discovery->send_line(Discovery::list(from + i, false, n.hosts[0]->target("s-1")));
    n.pass(50ms);
}
}  // namespace

TEST(Log, NobodyReadsIt) {
    Pipe pipe;
    pipe.fill();
    FaultNode n;
    ASSERT_TRUE(n.start(pipe.in.get()));
    EXPECT_TRUE(n.serves(1));
    change_list(n, 42, 20);
    EXPECT_TRUE(n.serves(2));
    pipe.take();
    change_list(n, 62, 1);
    EXPECT_TRUE(
        n.run([&] { return pipe.take().find("log_dropped lines=") != std::string::npos; }, 3s))
        << "the count of dropped lines is told once there is room";
    EXPECT_TRUE(n.serves(3));
}

TEST(Log, ItsReaderHasGone) {
    FaultNode n;
    {
        Pipe pipe;
        ASSERT_TRUE(n.start(pipe.in.get()));
    }
    change_list(n, 42, 5);
    EXPECT_TRUE(n.serves(1));
    EXPECT_TRUE(n.runs());
}

TEST(Log, TheDiskIsFullForAWhile) {
    for (const int error : {ENOSPC, EIO, EINTR}) {
        FaultNode n;
        ASSERT_TRUE(n.start());
        n.process->faults.fail(faults::write_call, error, faults::unlimited, 300ms);
        change_list(n, 42, 5);
        EXPECT_TRUE(n.serves(1));
        EXPECT_GT(n.process->faults.hit(faults::write_call), 0);
        n.pass(400ms);
        change_list(n, 47, 1);
        EXPECT_TRUE(n.run(
            [&] { return n.process->log().find("log_dropped lines=") != std::string::npos; }, 3s))
            << error << "\n"
            << n.process->log();
        EXPECT_TRUE(n.serves(2));
    }
}
