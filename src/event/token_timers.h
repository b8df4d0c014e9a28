// Very many short timers that carry a number: a ring of one-millisecond slots, so that starting and
// firing one costs the same however many there are. A timer fires at its time or up to a
// millisecond later.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <vector>

#include "event/loop.h"

namespace silverreach::event {

class TokenTimers {
  public:
    TokenTimers(Loop& loop, std::function<void(std::uint64_t)> fired);
    void start(Micros from_now, std::uint64_t token);
    std::size_t pending() const { return pending_; }

  private:
    static constexpr std::size_t slots = 4096;  // a power of two; later ones wait in the overflow
    struct Entry {
        std::int64_t slot;
        std::uint64_t token;
    };
    void put(Entry entry);
    void arm();
    void fire();
    std::int64_t slot_now() const;

    Loop& loop_;
    std::function<void(std::uint64_t)> fired_;
    std::array<std::vector<Entry>, slots> ring_;
    std::array<std::uint64_t, slots / 64> used_{};
    std::multimap<std::int64_t, std::uint64_t> overflow_;
    std::int64_t done_;       // every slot up to this one has fired
    std::int64_t armed_ = 0;  // slot for which the loop will call; 0: none
    std::size_t pending_ = 0;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace silverreach::event
