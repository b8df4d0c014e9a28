// Identifies one attempt of one request.
#pragma once

#include <cstddef>

#include "silverreach/interface.h"

namespace silverreach::core {

// Attempts are numbered from 0, in the order in which they are sent.
struct AttemptKey {
    RequestId request = 0;
    int attempt = 0;
    bool operator==(const AttemptKey&) const = default;
};

struct AttemptKeyHash {
    std::size_t operator()(const AttemptKey& key) const {
        return key.request * 8 + static_cast<std::size_t>(key.attempt);
    }
};

}  // namespace silverreach::core
