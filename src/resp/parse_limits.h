// The limits of one RESP message from a peer.
#pragma once

#include <cstddef>
#include <cstdint>

namespace silverreach::resp {

struct ParseLimits {
    std::size_t max_elements = 8;                            // of a command or an array reply
    std::size_t max_bulk_bytes = std::size_t{64} * 1024;     // of one value
    std::size_t max_message_bytes = std::size_t{68} * 1024;  // of a command or reply
    std::size_t max_line_bytes = 256;                        // of a status, error or integer line

    // Whether a message may contain a bulk string with the announced `size` in bytes that begins at
    // `position` of the message.
    bool allows_bulk_string(std::int64_t size, std::size_t position) const {
        return size >= 0 && size <= static_cast<std::int64_t>(max_bulk_bytes) &&
               position + static_cast<std::size_t>(size) <= max_message_bytes;
    }
    // Whether a message may have the announced number of elements, of which `minimum` are required.
    bool allows_element_count(std::int64_t count, std::int64_t minimum) const {
        return count >= minimum && count <= static_cast<std::int64_t>(max_elements);
    }
};

}  // namespace silverreach::resp
