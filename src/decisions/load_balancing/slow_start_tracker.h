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
    static constexpr Micros initial_listing_window{1'000'000};
    // How long an endpoint is remembered after it left the list.
    static constexpr Micros retention_time{600'000'000};

    explicit SlowStartTracker(Micros instance_started_at)
        : instance_started_at_(instance_started_at) {}

    // Records an entry of an endpoint list; must be called for each entry. Returns when the
    // endpoint's slow start began, on this instance's clock; 0: long ago.
    Micros record_entry(const EndpointEntry& entry, Micros now) {
        auto [it, is_new] = starts_.try_emplace(entry.id);
        StartRecord& start = it->second;
        start.last_listed_at = now;
        if (!is_new && start.listed_start_time == entry.started_at) return start.began_at;
        start.listed_start_time = entry.started_at;
        start.began_at = estimate_start(entry.started_at, is_new, now);
        return start.began_at;
    }
    // Drops endpoints that left the list long ago.
    void drop_expired(Micros now) {
        std::erase_if(starts_, [now](const auto& item) {
            return now - item.second.last_listed_at > retention_time;
        });
    }
    void mark_listed(const std::string& endpoint, Micros now) {
        if (const auto it = starts_.find(endpoint); it != starts_.end())
            it->second.last_listed_at = now;
    }

  private:
    struct StartRecord {
        Micros listed_start_time{0};  // wall time from the list
        Micros began_at{0};           // on this instance's clock
        Micros last_listed_at{0};
    };
    // An endpoint that is first listed after the initial window, or is listed with a new start
    // time, counts as started now. With the listed time, a wall clock of this instance that is
    // ahead would end the slow start too early, and one that is behind would prolong it. For
    // endpoints listed within the initial window only the listed time is known; one in the future
    // counts as now.
    Micros estimate_start(Micros listed_start_time, bool is_new, Micros now) const {
        if (listed_start_time <= Micros{0}) return Micros{0};
        const bool is_initial_endpoint =
            is_new && now - instance_started_at_ <= initial_listing_window;
        return is_initial_endpoint ? std::min(listed_start_time, now) : now;
    }

    Micros instance_started_at_;
    std::unordered_map<std::string, StartRecord> starts_;
};

}  // namespace silverreach
