// When the bytes of a connection that wait to be read by their protocol came. Bytes that came
// within a moment share an entry, with the earlier time, so its size goes with time, not with
// bytes.
#pragma once

#include <chrono>
#include <cstdint>
#include <deque>

#include "event/loop.h"

namespace silverreach::event {

class ArrivalLog {
  public:
    void add(std::size_t bytes, Micros at) {
        received_ += bytes;
        if (!entries_.empty() && at - entries_.back().at < together)
            entries_.back().upto = received_;
        else
            entries_.push_back({received_, at});
    }
    // When the byte came that stands `offset` behind those taken, counted from 1; `otherwise` where
    // none did.
    Micros of(std::size_t offset, Micros otherwise) const {
        for (const Entry& entry : entries_)
            if (entry.upto >= taken_ + offset) return entry.at;
        return otherwise;
    }
    void take(std::size_t bytes) {
        taken_ += bytes;
        while (!entries_.empty() && entries_.front().upto <= taken_)
            entries_.pop_front();
    }
    void take_all() { take(static_cast<std::size_t>(received_ - taken_)); }

  private:
    static constexpr Micros together{10'000};
    struct Entry {
        std::uint64_t upto = 0;  // of the connection's bytes
        Micros at{0};
    };
    std::deque<Entry> entries_;
    std::uint64_t received_ = 0, taken_ = 0;
};

}  // namespace silverreach::event
