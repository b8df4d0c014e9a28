#include <gtest/gtest.h>
#include <unistd.h>

#include <random>

#include "event/listener.h"
#include "event/stream.h"
#include "event/timer_wheel.h"

using namespace silverreach::event;
using namespace std::chrono_literals;

TEST(Loop, ZeroDelayTimerThatRepeatsDoesNotStarveOtherTimers) {
    Loop loop;
    int turns = 0;
    std::function<void()> repeat = [&] {
        ++turns;
        loop.after(0us, repeat);
    };
    repeat();
    loop.after(5ms, [&] { loop.stop(); });
    loop.run();  // does not return if new zero-delay timers fire in the same turn
    EXPECT_GT(turns, 2);
}

TEST(Loop, TimersFireInOrderOfDueTimeAndThenOfCreation) {
    Loop loop;
    std::string order;
    loop.after(4ms, [&] { order += "c"; });
    loop.after(2ms, [&] { order += "a"; });
    loop.after(2ms, [&] { order += "b"; });
    loop.after(6ms, [&] { loop.stop(); });
    loop.run();
    EXPECT_EQ(order, "abc");
}

// Guards against a fault in which, after a stall of the process, timers fired before responses that
// had already arrived were read. All hosts then seemed not to respond and were ejected together.
TEST(Loop, AfterAStallArrivedBytesAreReadBeforeTimersFire) {
    Loop loop;
    int pipe[2];
    ASSERT_EQ(::pipe(pipe), 0);
    Fd in(pipe[0]), out(pipe[1]);
    std::string order;
    IoWatcher io(loop, in.get(), [&](int) {
        order += "read ";
        io.set_interest(none);
    });
    io.set_interest(readable);
    loop.after(5ms, [&] { order += "timer "; });
    loop.after(1ms, [&] {
        ASSERT_EQ(::write(out.get(), "x", 1), 1);
        ::usleep(20'000);  // a stall
    });
    loop.after(60ms, [&] { loop.stop(); });
    loop.run();
    EXPECT_EQ(order, "read timer ");
}

TEST(TimerWheel, EachTimerFiresOnceAtOrAfterItsDueTime) {
    Loop loop;
    std::vector<std::pair<Micros, int>> fired(3000, {Micros(0), 0});
    std::vector<Micros> due(fired.size());
    TimerWheel timers(loop, [&](std::uint64_t token) {
        fired[token].first = loop.now();
        ++fired[token].second;
    });
    std::mt19937_64 random(7);
    for (std::size_t i = 0; i < due.size(); ++i) {
        // Every 100th timer lies beyond the ring of slots.
        const Micros wait(i % 100 == 0 ? 4'100'000 + static_cast<std::int64_t>(random() % 300'000)
                                       : static_cast<std::int64_t>(random() % 400'000));
        due[i] = loop.now() + wait;
        timers.start(wait, i);
    }
    std::function<void()> stop_when_done = [&] {
        if (timers.pending() == 0) return loop.stop();
        loop.after(5ms, stop_when_done);
    };
    stop_when_done();
    loop.run();
    for (std::size_t i = 0; i < due.size(); ++i) {
        ASSERT_EQ(fired[i].second, 1) << i;
        EXPECT_GE(fired[i].first, due[i]);
        EXPECT_LT(fired[i].first, due[i] + 100ms)
            << "slots are 1 ms; the rest allows for a busy machine";
    }
}

TEST(TimerWheel, TimerThatStartsAnotherWithZeroDelayDoesNotSpin) {
    Loop loop;
    int fired = 0;
    TimerWheel* wheel = nullptr;
    TimerWheel timers(loop, [&](std::uint64_t token) {
        ++fired;
        wheel->start(0us, token);
    });
    wheel = &timers;
    timers.start(0us, 1);
    loop.after(50ms, [&] { loop.stop(); });
    loop.run();
    EXPECT_GT(fired, 5);
    EXPECT_LE(fired, 60);
}

TEST(Stream, BytesQueuedByWriteArriveInOrder) {
    struct Sink : StreamOwner {
        std::string received;
        bool ended = false;
        void on_data(std::string_view bytes) override { received.append(bytes); }
        void on_end() override { ended = true; }
        void on_error(int) override { ended = true; }
    } reader, writer;
    Loop loop;
    std::unique_ptr<Stream> in;
    Listener listener(
        loop, "127.0.0.1", 0, false, [] { return true; },
        [&](Fd fd, std::string) { in = std::make_unique<Stream>(loop, std::move(fd), reader); });
    int error = 0;
    Stream out(loop, connect_to("127.0.0.1", listener.port(), false, error), writer, true);
    std::string expected;
    for (int i = 0; i < 3000; ++i) {
        const std::string letters(static_cast<std::size_t>(i), static_cast<char>('a' + i % 26)),
            number = std::to_string(i);
        out.write({letters, number, "|"});
        expected += letters + number + "|";
    }
    out.end();
    std::function<void()> stop_at_end = [&] {
        reader.ended ? loop.stop() : loop.after(1ms, stop_at_end);
    };
    stop_at_end();
    loop.run();
    EXPECT_TRUE(reader.received == expected) << reader.received.size() << " of " << expected.size();
}
