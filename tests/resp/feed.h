// Feeds a parser its input byte by byte.
#pragma once

#include <string>
#include <string_view>

#include "resp/framing.h"

namespace resp_test {

struct FeedResult {
    silverreach::resp::ParseStatus status;  // the first other than `incomplete`, if any
    std::size_t bytes;                      // fed up to that status
};

template <typename Parser>
FeedResult feed_byte_by_byte(Parser& parser, const std::string& bytes) {
    using silverreach::resp::ParseStatus;
    for (std::size_t size = 1; size <= bytes.size(); ++size) {
        const ParseStatus status = parser.parse(std::string_view(bytes).substr(0, size));
        if (status != ParseStatus::incomplete) return {status, size};
    }
    return {ParseStatus::incomplete, bytes.size()};
}

}  // namespace resp_test
