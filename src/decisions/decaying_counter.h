// Time as seconds, and an amount that fades. No decision and no tuned value.
#pragma once

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>

namespace silverreach {

inline double seconds(std::chrono::microseconds t) {
    return static_cast<double>(t.count()) / 1e6;
}
inline std::chrono::microseconds micros(double s) {
    return std::chrono::microseconds(static_cast<std::int64_t>(std::clamp(s, 0.0, 4e3) * 1e6));
}

// Fades with the memory given, in seconds; over that memory it reads as a rate.
struct DecayingCounter {
    double amount = 0;
    std::chrono::microseconds at{0};
    double value(std::chrono::microseconds now, double memory) const {
        return amount * std::exp(-seconds(now - at) / memory);
    }
    void add(double x, std::chrono::microseconds now, double memory) {
        amount = value(now, memory) + x, at = now;
    }
};

}  // namespace silverreach
