// Shared by tests on loopback: an event loop that runs until a condition is met, and a client that
// sends and receives raw bytes.
#pragma once

#include <functional>
#include <string>

#include "event/stream.h"

namespace test_support {
using namespace silverreach;
using namespace std::chrono_literals;

struct LoopRunner {
    event::Loop loop;
    // Runs the loop until the condition is met or the timeout expires; returns whether it was met.
    bool run_until(std::function<bool()> condition, std::chrono::milliseconds timeout = 5s) {
        const auto deadline = event::Loop::clock() + timeout;
        bool is_met = false;
        std::function<void()> check = [&] {
            if ((is_met = condition()) || event::Loop::clock() >= deadline) return loop.stop();
            loop.after(1ms, check);
        };
        loop.after(0us, check);
        loop.run();
        return is_met;
    }
    void run_for(std::chrono::milliseconds duration) {
        run_until([] { return false; }, duration);
    }
};

struct Client : event::StreamOwner {
    event::Loop& loop;
    event::Stream stream;
    std::string received;
    bool is_closed_by_peer = false, has_failed = false;
    Client(event::Loop& event_loop, int port, const std::string& ip = "127.0.0.1")
        : loop(event_loop), stream(event_loop, open(ip, port), *this, true) {}
    static event::Fd open(const std::string& ip, int port) {
        int error = 0;
        return event::connect_to(ip, port, false, error);
    }
    void on_data(std::string_view bytes) override { received.append(bytes); }
    void on_end() override { is_closed_by_peer = true; }
    void on_error(int) override { has_failed = true; }
    bool is_closed() const { return is_closed_by_peer || has_failed; }
};

}  // namespace test_support
