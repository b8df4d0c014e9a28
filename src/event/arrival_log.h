// Arrival times of the bytes of a connection that wait to be read by their protocol.
#pragma once

#include <chrono>
#include <cstdint>
#include <deque>

#include "event/loop.h"

namespace silverreach::event {

// Bytes that arrive within `resolution` of each other share an entry, with the earlier time, so
// its size grows with time and not with bytes. Times are on the loop's clock.
class ArrivalLog {
  public:
    // Notes that `bytes` more have arrived at `at`.
    void add(std::size_t bytes, Micros at) {
        received_ += bytes;
        if (!entries_.empty() && at - entries_.back().at < resolution)
            entries_.back().end = received_;
        else
            entries_.push_back({received_, at});
    }
    // The arrival time of the byte `offset` behind the consumed ones, counted from 1; `fallback`
    // where there is no such byte.
    Micros time_of(std::size_t offset, Micros fallback) const {
        for (const Entry& entry : entries_)
            if (entry.end >= consumed_ + offset) return entry.at;
        return fallback;
    }
    // Forgets the next `bytes`.
    void consume(std::size_t bytes) {
        consumed_ += bytes;
        while (!entries_.empty() && entries_.front().end <= consumed_)
            entries_.pop_front();
    }
    void consume_all() { consume(static_cast<std::size_t>(received_ - consumed_)); }

  private:
    static constexpr Micros resolution{10'000};
    struct Entry {
        std::uint64_t end = 0;  // number of the last byte, among all of the connection
        Micros at{0};
    };
    std::deque<Entry> entries_;
    std::uint64_t received_ = 0;  // bytes
    std::uint64_t consumed_ = 0;  // bytes
};

}  // namespace silverreach::event
