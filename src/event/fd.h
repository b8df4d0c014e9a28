// An owned file descriptor.
#pragma once

#include <utility>

namespace silverreach::event {

// Closes its descriptor on destruction, assignment and reset(). Move-only.
class Fd {
  public:
    Fd() = default;
    // Takes ownership of `fd`; a negative number means no descriptor.
    explicit Fd(int fd) : fd_(fd) {}
    ~Fd() { reset(); }
    Fd(const Fd&) = delete;
    Fd& operator=(const Fd&) = delete;
    Fd(Fd&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
    Fd& operator=(Fd&& other) noexcept {
        if (this == &other) return *this;
        reset();
        fd_ = std::exchange(other.fd_, -1);
        return *this;
    }
    int get() const { return fd_; }
    explicit operator bool() const { return fd_ >= 0; }
    void reset();

  private:
    int fd_ = -1;
};

}  // namespace silverreach::event
