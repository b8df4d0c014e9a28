// Arrival times of the received bytes that a connection's protocol has not consumed yet.
#pragma once

#include <chrono>
#include <cstdint>
#include <deque>

#include "event/loop.h"

namespace silverreach::event {

// Bytes that arrive within `resolution` of the start of an entry are added to that entry and share
// its time, so the size of the log grows with time and not with the number of bytes. Times are on
// the loop's clock.
class ArrivalLog {
  public:
    // Records that `bytes` more bytes arrived at `arrived_at`.
    void record(std::size_t bytes, Micros arrived_at) {
        received_ += bytes;
        if (!entries_.empty() && arrived_at - entries_.back().arrived_at < resolution)
            entries_.back().end = received_;
        else
            entries_.push_back({received_, arrived_at});
    }
    // Returns the arrival time of the `offset`-th unconsumed byte, counted from 1, or `fallback` if
    // there is no such byte.
    Micros arrival_time(std::size_t offset, Micros fallback) const {
        for (const Entry& entry : entries_)
            if (entry.end >= consumed_ + offset) return entry.arrived_at;
        return fallback;
    }
    // Marks the next `bytes` bytes as consumed and drops their entries.
    void consume(std::size_t bytes) {
        consumed_ += bytes;
        while (!entries_.empty() && entries_.front().end <= consumed_)
            entries_.pop_front();
    }
    void consume_all() { consume(static_cast<std::size_t>(received_ - consumed_)); }

  private:
    static constexpr Micros resolution{10'000};
    struct Entry {
        std::uint64_t end =
            0;  // number of the entry's last byte, counted from the connection's start
        Micros arrived_at{0};
    };
    std::deque<Entry> entries_;
    std::uint64_t received_ = 0;  // bytes
    std::uint64_t consumed_ = 0;  // bytes
};

}  // namespace silverreach::event
