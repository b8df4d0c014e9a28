// Parses the elements of RESP2 commands and replies. No I/O, no state: each function reads the
// bytes from a position on.
//
// Source: the published description of the Redis serialization protocol, version 2.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace silverreach::resp {

enum class ParseStatus {
    incomplete,  // more bytes are needed
    complete,
    malformed  // no further bytes can make it valid
};

inline constexpr char array_type = '*';
inline constexpr char bulk_string_type = '$';
inline constexpr std::size_t crlf_bytes = 2;

// Parses the header at `position`: the type byte, a length or -1, and CRLF. On `complete`, sets
// `length` and moves `position` to the end of the header.
ParseStatus parse_header(std::string_view bytes, std::size_t& position, char type,
                         std::int64_t& length);
// Parses the CRLF after a value that ends at `position`.
ParseStatus parse_value_end(std::string_view bytes, std::size_t position);

}  // namespace silverreach::resp
