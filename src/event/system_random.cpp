#include "event/system_random.h"

#include <sodium.h>

#include <utility>

namespace silverreach::event {

std::uint64_t SystemRandom::operator()() {
    if (next_index_ == buffer_.size()) {
        randombytes_buf(buffer_.data(), sizeof buffer_);
        next_index_ = 0;
    }
    return std::exchange(buffer_[next_index_++], 0);
}

}  // namespace silverreach::event
