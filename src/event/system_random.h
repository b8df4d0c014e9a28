// Random numbers of the system's own source, for names that nobody may guess. Holds a page of them,
// so that most calls cost no system call. Not to be copied: two copies would name two requests
// alike.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace silverreach::event {

class SystemRandom {
  public:
    SystemRandom() = default;
    SystemRandom(const SystemRandom&) = delete;
    SystemRandom& operator=(const SystemRandom&) = delete;
    std::uint64_t operator()();

  private:
    std::array<std::uint64_t, 512> page_{};
    std::size_t used_ = page_.size();
};

}  // namespace silverreach::event
