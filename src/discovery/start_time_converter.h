// Converts the start times that discovery reports from the wall clock to the gateway's monotonic
// clock. Each start is converted once, so that a later step of either clock does not change the
// result. No I/O.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "silverreach/interface.h"

namespace silverreach::discovery {

class StartTimeConverter {
  public:
    // Returns the start on the monotonic clock, whose current time is `now`, or 0 if
    // `started_unix_ms` is 0 or less, which means long ago. A start in the future converts to
    // `now`. A new start of an endpoint never converts to the same time as its previous start.
    Micros convert(const std::string& endpoint, std::int64_t started_unix_ms, Micros now,
                   std::int64_t unix_ms_now);
    // Discards the starts of endpoints that are not in `endpoints`.
    void retain_only(const std::vector<EndpointEntry>& endpoints);

  private:
    struct Conversion {
        std::int64_t started_unix_ms = 0;
        Micros started_at{0};
    };
    std::map<std::string, Conversion> conversions_;  // by endpoint
};

}  // namespace silverreach::discovery
