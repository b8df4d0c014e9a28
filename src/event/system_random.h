// Random numbers from the system's source, for names that must not be predictable.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace silverreach::event {

// Buffers 512 numbers, so that most calls need no system call. Not copyable, because copies would
// generate the same names. Not thread-safe.
class SystemRandom {
  public:
    SystemRandom() = default;
    SystemRandom(const SystemRandom&) = delete;
    SystemRandom& operator=(const SystemRandom&) = delete;
    std::uint64_t operator()();

  private:
    std::array<std::uint64_t, 512> buffer_{};
    std::size_t next_index_ = buffer_.size();
};

}  // namespace silverreach::event
