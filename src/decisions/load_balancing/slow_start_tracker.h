// When hosts started, on this gateway's own clock. A host's start time is told in wall time, by a
// clock that may differ from ours by any amount; the order in which this gateway learns of hosts is
// known whatever clocks say. No I/O, no clock.
#pragma once

#include <algorithm>
#include <string>
#include <unordered_map>

#include "silverreach/interface.h"

namespace silverreach {

class SlowStartTracker {
  public:
    // Lists that come this soon after the gateway's own start show what was there before it.
    static constexpr Micros first_lists{1'000'000};
    // A host that left the list is known again for so long.
    static constexpr Micros remembered{600'000'000};

    explicit SlowStartTracker(Micros boot) : boot_(boot) {}

    // When the host's slow start began, on our clock; 0: long past. Called with every entry of a
    // list.
    Micros began(const EndpointEntry& entry, Micros now) {
        auto [it, fresh] = starts_.try_emplace(entry.id);
        Start& start = it->second;
        start.listed = now;
        if (!fresh && start.told == entry.started_at) return start.began;
        start.told = entry.started_at;
        start.began = first_sight(entry.started_at, fresh, now);
        return start.began;
    }
    void forget_old(Micros now) {
        std::erase_if(starts_,
                      [now](const auto& entry) { return now - entry.second.listed > remembered; });
    }
    void still_listed(const std::string& host, Micros now) {
        if (const auto it = starts_.find(host); it != starts_.end()) it->second.listed = now;
    }

  private:
    struct Start {
        Micros told{0};    // as the list has it
        Micros began{0};   // on our clock
        Micros listed{0};  // when it was last
    };
    // What appears later, or comes back with another start time, has started now as far as we can
    // know: by a wall clock that is ahead it would look warm, by one that is behind it would stay
    // cold. Of what was there first only the wall clock tells; a start that lies ahead of it is one
    // of now.
    Micros first_sight(Micros told, bool fresh, Micros now) const {
        if (told <= Micros(0)) return Micros(0);
        const bool was_there_before = fresh && now - boot_ <= first_lists;
        return was_there_before ? std::min(told, now) : now;
    }

    Micros boot_;
    std::unordered_map<std::string, Start> starts_;
};

}  // namespace silverreach
