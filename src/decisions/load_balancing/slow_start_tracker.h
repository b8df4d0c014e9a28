// Tracks when endpoints started, on this instance's own clock. The endpoint list contains start
// times by a wall clock that may differ from this instance's clock by any amount, whereas the order
// in which this instance learns of endpoints does not depend on clocks. Does no I/O and reads no
// clock.
#pragma once

#include <algorithm>
#include <string>
#include <unordered_map>

#include "silverreach/interface.h"

namespace silverreach {

class SlowStartTracker {
  public:
    // Endpoints first listed within this time after the instance's own start count as started
    // before it.
    static constexpr Micros first_lists{1'000'000};
    // How long an endpoint is remembered after it left the list.
    static constexpr Micros remembered{600'000'000};

    explicit SlowStartTracker(Micros boot) : boot_(boot) {}

    // Records an entry of an endpoint list; must be called for each entry. Returns when the
    // endpoint's slow start began, on this instance's clock; 0: long ago.
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
        Micros listed_start{0};  // wall time from the list
        Micros began{0};         // on this instance's clock
        Micros last_listed{0};
    };
    // An endpoint that is listed later, or with a new start time, counts as started now: with the
    // listed time, a wall clock of this instance that is ahead would make the endpoint look warm,
    // and one that is behind would keep it in slow start. For endpoints listed at the start of this
    // instance only the listed time is known; a listed time in the future counts as now.
    Micros estimate_start(Micros listed_start, bool is_new, Micros now) const {
        if (listed_start <= Micros{0}) return Micros{0};
        const bool was_there_before = is_new && now - boot_ <= first_lists;
        return was_there_before ? std::min(listed_start, now) : now;
    }

    Micros boot_;
    std::unordered_map<std::string, Start> starts_;
};

}  // namespace silverreach
