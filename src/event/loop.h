// The event loop, based on libev: one per thread, with a monotonic clock and a heap of timers.
#pragma once

#include <ev.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <vector>

namespace silverreach::event {

using Micros = std::chrono::microseconds;

// All members except clock() are called on the thread that runs the loop.
class Loop {
  public:
    // Throws SystemError if the system offers no mechanism to wait for sockets.
    Loop();
    ~Loop();
    Loop(const Loop&) = delete;
    Loop& operator=(const Loop&) = delete;

    void run();   // returns after stop() was called
    void stop();  // makes run() return at the end of the current turn
    // Monotonic time, cached for each turn of the loop, so that the events of one turn have the
    // same time.
    Micros now() const;
    static Micros clock();  // reads the same clock without the cache
    // The earliest time at which a descriptor that is ready in this turn may have become ready,
    // provided that it was watched in the previous turn. Usually this is now, because a descriptor
    // that becomes ready during a wait ends the wait. It is earlier if the descriptor may have
    // become ready while the callbacks of the previous turn ran or while the process was stalled.
    Micros ready_since() const { return ready_since_; }
    std::uint64_t turn() const { return turn_; }  // number of waits so far
    // Calls `callback` once, `delay` from now; a negative delay counts as zero. Timers that are due
    // at the same time fire in the order in which they were set. A timer cannot be cancelled: the
    // callback checks whether its owner still exists and still needs it.
    void after(Micros delay, std::function<void()> callback);
    // The underlying libev loop, for the watchers in this folder; owned by this object.
    struct ev_loop* libev_loop() const {
        return loop_;
    }
    // Sets a function that is called in each turn before all other callbacks. An empty function
    // removes it.
    void set_turn_callback(std::function<void()> callback) { turn_callback_ = std::move(callback); }

  private:
    struct Timer {
        Micros due;
        std::uint64_t order;
        std::function<void()> callback;
        bool operator<(const Timer& other) const {
            return due != other.due ? due > other.due : order > other.order;
        }
    };
    void arm_timer();
    void fire_timers();
    void before_wait();
    void after_wait();

    struct ev_loop* loop_;
    ev_timer timer_{};
    ev_prepare prepare_{};
    ev_check check_{};
    std::vector<Timer> timers_;  // a heap with the next timer in front
    std::uint64_t next_order_ = 0;
    Micros armed_for_{0};    // time for which timer_ is set; 0: not set
    mutable Micros now_{0};  // 0: not read in this turn yet
    Micros wait_began_{0};   // start of the latest wait
    Micros wait_ended_{0};   // end of the latest wait
    Micros ready_since_{0};
    bool stalled_ = false;  // the process did not run when the latest wait should have ended
    std::uint64_t turn_ = 0;
    std::function<void()> turn_callback_;
};

}  // namespace silverreach::event
