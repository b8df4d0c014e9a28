// Conversions between durations and seconds, and an exponentially decaying counter.
#pragma once

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>

namespace silverreach {

inline double seconds(std::chrono::microseconds time) {
    return static_cast<double>(time.count()) / 1e6;
}
// The result is clamped to the range from 0 to `max_duration_s`.
inline std::chrono::microseconds micros(double duration_s) {
    constexpr double max_duration_s = 4e3;
    return std::chrono::microseconds(
        static_cast<std::int64_t>(std::clamp(duration_s, 0.0, max_duration_s) * 1e6));
}

// A sum whose terms decay exponentially. All calls must pass the same `time_constant_s`, in
// seconds. value() / time_constant_s is the recent rate per second.
struct DecayingCounter {
    double amount = 0;  // at `updated_at`
    std::chrono::microseconds updated_at{0};

    double value(std::chrono::microseconds now, double time_constant_s) const {
        return amount * std::exp(-seconds(now - updated_at) / time_constant_s);
    }
    void add(double term, std::chrono::microseconds now, double time_constant_s) {
        amount = value(now, time_constant_s) + term;
        updated_at = now;
    }
};

}  // namespace silverreach
