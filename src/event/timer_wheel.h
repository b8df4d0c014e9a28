// A timer wheel for many short timers, each identified by a token.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "event/loop.h"

namespace silverreach::event {

// A ring of one-millisecond slots, so that the cost of starting and firing a timer does not depend
// on the number of timers. A timer fires at its due time or up to a millisecond later. Used on the
// loop's thread.
class TimerWheel {
  public:
    // `on_timer` receives the token of each timer that fires; it may start others.
    TimerWheel(Loop& loop, std::function<void(std::uint64_t)> on_timer);
    // Starts a timer; a negative delay counts as zero. Timers cannot be cancelled.
    void start(Micros delay, std::uint64_t token);
    std::size_t pending() const { return pending_; }

  private:
    static constexpr std::size_t slot_count = 4096;  // a power of two
    static constexpr std::size_t word_bits = 64;
    struct Timer {
        std::int64_t slot;  // due time in milliseconds on the loop's clock
        std::uint64_t token;
    };
    void insert(Timer timer);
    void arm();
    void fire();
    void fire_slot(std::size_t index);
    void refill_from_overflow();
    std::int64_t next_used_slot() const;  // INT64_MAX: none in the ring
    std::int64_t current_slot() const;

    Loop& loop_;
    std::function<void(std::uint64_t)> on_timer_;
    std::array<std::vector<Timer>, slot_count> ring_;
    std::array<std::uint64_t, slot_count / word_bits>
        used_slots_{};                                     // one bit per slot of the ring
    std::multimap<std::int64_t, std::uint64_t> overflow_;  // timers beyond the ring, by slot
    std::int64_t last_fired_slot_;                         // every slot up to this one has fired
    std::int64_t armed_slot_ = 0;  // slot for which a loop timer is set; 0: none
    std::size_t pending_ = 0;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace silverreach::event
