#include <gtest/gtest.h>
#include <unistd.h>

#include <random>

#include "event/listener.h"
#include "event/stream.h"
#include "event/timer_wheel.h"

using namespace silverreach::event;
using namespace std::chrono_literals;

TEST(Loop, ACallThatSetsItselfForNowDoesNotStarveTheRest) {
    Loop loop;
    int turns = 0;
    std::function<void()> again = [&] {
        ++turns;
        loop.after(0us, again);
    };
    again();
    loop.after(5ms, [&] { loop.stop(); });
    loop.run();  // before, this never came back
    EXPECT_GT(turns, 2);
}

TEST(Loop, TimersFireInTheOrderOfTheirTimeAndThenOfTheirSetting) {
    Loop loop;
    std::string order;
    loop.after(4ms, [&] { order += "c"; });
    loop.after(2ms, [&] { order += "a"; });
    loop.after(2ms, [&] { order += "b"; });
    loop.after(6ms, [&] { loop.stop(); });
    loop.run();
    EXPECT_EQ(order, "abc");
}

// After a stall answers that had come were found behind the timers, and every host looked silent:
// all were put out at once.
TEST(Loop, AfterAStallWhatHasComeIsReadBeforeTimersFire) {
    Loop loop;
    int pipe[2];
    ASSERT_EQ(::pipe(pipe), 0);
    Fd in(pipe[0]), out(pipe[1]);
    std::string order;
    IoWatcher io(loop, in.get(), [&](int) {
        order += "read ";
        io.want(none);
    });
    io.want(readable);
    loop.after(5ms, [&] { order += "timer "; });
    loop.after(1ms, [&] {
        ASSERT_EQ(::write(out.get(), "x", 1), 1);
        ::usleep(20'000);  // a stall
    });
    loop.after(60ms, [&] { loop.stop(); });
    loop.run();
    EXPECT_EQ(order, "read timer ");
}

TEST(TimerWheel, EachFiresOnceAtItsTimeOrUpToAMillisecondLater) {
    Loop loop;
    std::vector<std::pair<Micros, int>> fired(3000, {Micros(0), 0});
    std::vector<Micros> due(fired.size());
    TimerWheel timers(loop, [&](std::uint64_t token) {
        fired[token].first = loop.now();
        ++fired[token].second;
    });
    std::mt19937_64 random(7);
    for (std::size_t i = 0; i < due.size(); ++i) {
        // Some beyond the ring of slots.
        const Micros wait(i % 100 == 0 ? 4'100'000 + static_cast<std::int64_t>(random() % 300'000)
                                       : static_cast<std::int64_t>(random() % 400'000));
        due[i] = loop.now() + wait;
        timers.start(wait, i);
    }
    std::function<void()> look = [&] {
        if (timers.pending() == 0) return loop.stop();
        loop.after(5ms, look);
    };
    look();
    loop.run();
    for (std::size_t i = 0; i < due.size(); ++i) {
        ASSERT_EQ(fired[i].second, 1) << i;
        EXPECT_GE(fired[i].first, due[i]);
        EXPECT_LT(fired[i].first, due[i] + 100ms)
            << "on a busy machine; the slot itself is a millisecond";
    }
}

TEST(TimerWheel, OneThatStartsAnotherForNowDoesNotSpin) {
    Loop loop;
    int fired = 0;
    TimerWheel* self = nullptr;
    TimerWheel timers(loop, [&](std::uint64_t token) {
        ++fired;
        self->start(0us, token);
    });
    self = &timers;
    timers.start(0us, 1);
    loop.after(50ms, [&] { loop.stop(); });
    loop.run();
    EXPECT_GT(fired, 5);
    EXPECT_LE(fired, 60);
}

TEST(Stream, WhatDoesNotFitIsKeptInOrder) {
    struct Sink : StreamOwner {
        std::string got;
        bool over = false;
        void on_data(std::string_view b) override { got.append(b); }
        void on_end() override { over = true; }
        void on_broken(int) override { over = true; }
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
        const std::string a(static_cast<std::size_t>(i), static_cast<char>('a' + i % 26)),
            b = std::to_string(i);
        out.write({a, b, "|"});
        expected += a + b + "|";
    }
    out.end();
    std::function<void()> look = [&] { reader.over ? loop.stop() : loop.after(1ms, look); };
    look();
    loop.run();
    EXPECT_TRUE(reader.got == expected) << reader.got.size() << " of " << expected.size();
}
