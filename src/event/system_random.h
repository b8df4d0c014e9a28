// Random numbers of the system's own source, for names that must not be guessed.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace silverreach::event {

// Buffers a page of numbers, so that most calls cost no system call. Not copyable: two copies
// would generate the same names. For one thread.
class SystemRandom {
  public:
    SystemRandom() = default;
    SystemRandom(const SystemRandom&) = delete;
    SystemRandom& operator=(const SystemRandom&) = delete;
    std::uint64_t operator()();

  private:
    std::array<std::uint64_t, 512> buffer_{};
    std::size_t used_ = buffer_.size();
};

}  // namespace silverreach::event
