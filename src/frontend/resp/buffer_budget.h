// Limits the received bytes that all connections together buffer until their commands are handled.
#pragma once

#include <cstddef>

namespace silverreach::frontend::resp {

class BufferBudget {
  public:
    explicit BufferBudget(std::size_t max_bytes) : max_bytes_(max_bytes) {}
    // A connection that buffered `before` bytes now buffers `after`.
    void update(std::size_t before, std::size_t after) {
        used_bytes_ = used_bytes_ - before + after;
    }
    std::size_t used_bytes() const { return used_bytes_; }
    bool exceeded() const { return used_bytes_ > max_bytes_; }

  private:
    std::size_t max_bytes_;
    std::size_t used_bytes_ = 0;
};

}  // namespace silverreach::frontend::resp
