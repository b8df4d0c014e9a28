// What tests on loopback share: a loop that runs until something holds, and a raw client.
#pragma once

#include <functional>
#include <string>

#include "event/stream.h"

namespace test_support {
using namespace silverreach;
using namespace std::chrono_literals;

struct OnLoop {
    event::Loop loop;
    // Runs the loop until it holds, or for so long at most.
    bool run(std::function<bool()> until, std::chrono::milliseconds most = 5s) {
        const auto end = event::Loop::clock() + most;
        bool held = false;
        std::function<void()> look = [&] {
            if ((held = until()) || event::Loop::clock() >= end) return loop.stop();
            loop.after(1ms, look);
        };
        loop.after(0us, look);
        loop.run();
        return held;
    }
    void pass(std::chrono::milliseconds time) {
        run([] { return false; }, time);
    }
};

struct Client : event::StreamOwner {
    event::Loop& loop;
    event::Stream stream;
    std::string got;
    bool ended = false, broken = false;
    Client(event::Loop& l, int port, const std::string& ip = "127.0.0.1")
        : loop(l), stream(l, open(ip, port), *this, true) {}
    static event::Fd open(const std::string& ip, int port) {
        int error = 0;
        return event::connect_to(ip, port, false, error);
    }
    void on_data(std::string_view b) override { got.append(b); }
    void on_end() override { ended = true; }
    void on_error(int) override { broken = true; }
    bool over() const { return ended || broken; }
};

}  // namespace test_support
