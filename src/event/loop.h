// The event loop: one a thread, on libev, with one monotonic clock and one heap of timers.
#pragma once

#include <ev.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <vector>

namespace silverreach::event {

using Micros = std::chrono::microseconds;

// Everything but clock() is called on the thread that runs the loop.
class Loop {
  public:
    // Throws SystemError where the system offers no way to wait for sockets.
    Loop();
    ~Loop();
    Loop(const Loop&) = delete;
    Loop& operator=(const Loop&) = delete;

    void run();   // returns after stop()
    void stop();  // ends run() with the present turn
    // Monotonic; read once for each turn of the loop, so all that happens in one turn happens at
    // one time.
    Micros now() const;
    static Micros clock();  // the same clock, read afresh
    // The earliest moment at which what this turn found ready may have become so, if it was watched
    // in the turn before. While the loop waits something ready wakes it, so that is now; what
    // became ready while the last turn was at work, or while the process was stalled, may be older.
    Micros ready_since() const { return ready_since_; }
    std::uint64_t turn() const { return turn_; }  // counts the waits
    // Calls once, `delay` from now; a negative delay is zero. Timers due at once fire in the order
    // in which they were set. A timer cannot be cancelled: its owner checks whether it still
    // matters, and whether it is still alive.
    void after(Micros delay, std::function<void()> callback);
    // The loop underneath, for watchers of this folder; owned here.
    struct ev_loop* raw() const {
        return loop_;
    }
    // Called in each turn, before anything else of it. An empty function calls nothing.
    void on_each_turn(std::function<void()> callback) { on_each_turn_ = std::move(callback); }

  private:
    struct Timer {
        Micros due;
        std::uint64_t order;
        std::function<void()> callback;
        bool operator<(const Timer& other) const {
            return due != other.due ? due > other.due : order > other.order;
        }
    };
    void arm();
    void fire_timers();
    void before_wait();
    void after_wait();

    struct ev_loop* loop_;
    ev_timer timer_{};
    ev_prepare prepare_{};
    ev_check check_{};
    std::vector<Timer> timers_;  // a heap, the next one due in front
    std::uint64_t next_order_ = 0;
    Micros armed_{0};        // for which timer_ is set; 0: not set
    mutable Micros now_{0};  // 0: not read in this turn yet
    Micros wait_began_{0};   // of the latest wait
    Micros wait_ended_{0};   // of the latest wait
    Micros ready_since_{0};
    bool stalled_ = false;  // the process did not run when the latest wait should have ended
    std::uint64_t turn_ = 0;
    std::function<void()> on_each_turn_;
};

}  // namespace silverreach::event
