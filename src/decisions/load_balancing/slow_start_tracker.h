// When endpoints started, on this instance's own clock. The endpoint list has start times in wall
// time, by a clock that may differ from this instance's by any amount; the order in which this
// instance learns of endpoints does not depend on clocks. No I/O, no clock.
#pragma once

#include <algorithm>
#include <string>
#include <unordered_map>

#include "silverreach/interface.h"

namespace silverreach {

class SlowStartTracker {
  public:
    // Endpoint lists that come this soon after the instance's own start show what was there before
    // it.
    static constexpr Micros first_lists{1'000'000};
    // An endpoint that left the list is remembered for so long.
    static constexpr Micros remembered{600'000'000};

    explicit SlowStartTracker(Micros boot) : boot_(boot) {}

    // When the endpoint's slow start began, on this instance's clock; 0: long past. Call it with
    // every entry of an endpoint list.
    Micros began(const EndpointEntry& entry, Micros now) {
        auto [it, is_new] = starts_.try_emplace(entry.id);
        Start& start = it->second;
        start.last_listed = now;
        if (!is_new && start.listed_start == entry.started_at) return start.began;
        start.listed_start = entry.started_at;
        start.began = estimate_start(entry.started_at, is_new, now);
        return start.began;
    }
    // Drops endpoints that left the list long ago.
    void forget_old(Micros now) {
        std::erase_if(starts_, [now](const auto& item) {
            return now - item.second.last_listed > remembered;
        });
    }
    void still_listed(const std::string& endpoint, Micros now) {
        if (const auto it = starts_.find(endpoint); it != starts_.end())
            it->second.last_listed = now;
    }

  private:
    struct Start {
        Micros listed_start{0};  // wall time, as the list has it
        Micros began{0};         // on this instance's clock
        Micros last_listed{0};
    };
    // An endpoint that appears later, or with another start time, counts as started now: a wall
    // clock that is ahead would make it look warm, one that is behind would keep it in slow start.
    // For what was there first only the wall clock is known; a start ahead of it is one of now.
    Micros estimate_start(Micros listed_start, bool is_new, Micros now) const {
        if (listed_start <= Micros{0}) return Micros{0};
        const bool was_there_before = is_new && now - boot_ <= first_lists;
        return was_there_before ? std::min(listed_start, now) : now;
    }

    Micros boot_;
    std::unordered_map<std::string, Start> starts_;
};

}  // namespace silverreach
