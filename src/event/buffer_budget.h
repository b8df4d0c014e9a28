// Accounts for the received bytes that several connections together buffer, against a limit.
#pragma once

#include <cstddef>

namespace silverreach::event {

// Used on one thread. Must outlive its reservations.
class BufferBudget {
  public:
    // The bytes that one connection buffers. The budget's total is the sum over all reservations,
    // so bytes cannot be returned twice; those that are still reserved are returned on destruction.
    class Reservation {
      public:
        explicit Reservation(BufferBudget& budget) : budget_(budget) {}
        ~Reservation() { resize(0); }
        Reservation(const Reservation&) = delete;
        Reservation& operator=(const Reservation&) = delete;

        // Sets the number of bytes that the connection buffers now.
        void resize(std::size_t bytes) {
            budget_.used_bytes_ = budget_.used_bytes_ - bytes_ + bytes;
            bytes_ = bytes;
        }

      private:
        BufferBudget& budget_;
        std::size_t bytes_ = 0;
    };

    explicit BufferBudget(std::size_t max_bytes) : max_bytes_(max_bytes) {}
    BufferBudget(const BufferBudget&) = delete;
    BufferBudget& operator=(const BufferBudget&) = delete;

    std::size_t used_bytes() const { return used_bytes_; }
    bool exceeded() const { return used_bytes_ > max_bytes_; }

  private:
    const std::size_t max_bytes_;
    std::size_t used_bytes_ = 0;
};

}  // namespace silverreach::event
