// The parts that RESP2 commands and replies are built of. No I/O, no state: each function looks at
// the bytes from one position on.
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

// A header at `position`: the type byte, a length or -1, and CRLF. On `complete` the length is in
// `length` and `position` is behind the header.
ParseStatus parse_header(std::string_view bytes, std::size_t& position, char type,
                         std::int64_t& length);
// The CRLF behind a value that ends at `position`.
ParseStatus parse_value_end(std::string_view bytes, std::size_t position);

}  // namespace silverreach::resp
