#include "discovery/start_time_converter.h"

#include <algorithm>
#include <chrono>

namespace silverreach::discovery {
namespace {
constexpr Micros clock_tick{1};
}

Micros StartTimeConverter::convert(const std::string& endpoint, std::int64_t started_unix_ms,
                                   Micros now, std::int64_t unix_ms_now) {
    if (started_unix_ms <= 0) return Micros(0);
    Conversion& conversion = conversions_[endpoint];
    if (conversion.started_unix_ms == started_unix_ms) return conversion.started_at;
    const Micros age =
        std::chrono::milliseconds(std::max<std::int64_t>(0, unix_ms_now - started_unix_ms));
    // 0 would mean a start long ago, so a known start before the clock's origin converts to one
    // tick.
    Micros started_at = std::max(now - age, clock_tick);
    if (started_at == conversion.started_at) started_at += clock_tick;
    conversion = {started_unix_ms, started_at};
    return started_at;
}

void StartTimeConverter::retain_only(const std::vector<EndpointEntry>& endpoints) {
    std::erase_if(conversions_, [&](const auto& conversion) {
        return std::none_of(endpoints.begin(), endpoints.end(), [&](const EndpointEntry& endpoint) {
            return endpoint.id == conversion.first;
        });
    });
}

}  // namespace silverreach::discovery
