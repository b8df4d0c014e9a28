// Converts the start times that discovery reports from the wall clock to the gateway's monotonic
// clock. Each start is converted once, so that a later step of either clock does not move it. No
// I/O.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "silverreach/interface.h"

namespace silverreach::discovery {

class StartTimeConverter {
  public:
    // The start on the monotonic clock, of which `now` is the present; 0 where `started_unix_ms` is
    // 0 or less, which means long ago. A start in the future becomes `now`. A new start of the same
    // endpoint never converts to the same time as the one before.
    Micros convert(const std::string& endpoint, std::int64_t started_unix_ms, Micros now,
                   std::int64_t unix_ms_now);
    // Forgets the starts of all other endpoints.
    void retain(const std::vector<EndpointEntry>& endpoints);

  private:
    struct Conversion {
        std::int64_t started_unix_ms = 0;
        Micros started_at{0};
    };
    std::map<std::string, Conversion> conversions_;  // by endpoint
};

}  // namespace silverreach::discovery
