// The engine's random number generator. Equal seeds and equal events yield equal decisions.
#pragma once

#include <cstddef>
#include <cstdint>
#include <random>

namespace silverreach {

class RandomSource {
  public:
    explicit RandomSource(std::uint64_t seed) : generator_(seed) {}

    std::uint64_t next() { return generator_(); }
    // Uniform in [0, 1).
    double uniform() { return static_cast<double>(generator_() >> 11) * 0x1p-53; }
    // Uniform in [0, count); `count` must not be 0.
    std::size_t index(std::size_t count) { return generator_() % count; }

  private:
    std::mt19937_64 generator_;
};

}  // namespace silverreach
