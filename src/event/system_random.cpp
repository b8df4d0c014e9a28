#include "event/system_random.h"

#include <sodium.h>

#include <utility>

namespace silverreach::event {

std::uint64_t SystemRandom::operator()() {
    if (used_ == buffer_.size()) {
        randombytes_buf(buffer_.data(), sizeof buffer_);
        used_ = 0;
    }
    return std::exchange(buffer_[used_++], 0);
}

}  // namespace silverreach::event
