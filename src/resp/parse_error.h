// Why bytes are not a RESP command.
#pragma once

#include <string_view>

namespace silverreach::resp {

enum class ParseError {
    none,
    expected_array,              // no array header where a command begins
    element_count_out_of_range,  // of the array header
    expected_bulk_string,        // no bulk string header where an argument begins
    length_out_of_range,         // of a bulk string header
    length_mismatch              // no CRLF behind the announced number of bytes
};

// The text that clients get; empty for `none`.
std::string_view to_string(ParseError error);

}  // namespace silverreach::resp
