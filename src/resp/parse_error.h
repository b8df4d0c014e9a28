// The errors of malformed RESP commands.
#pragma once

#include <string_view>

namespace silverreach::resp {

enum class ParseError {
    none,
    expected_array,              // no array header at the start of a command
    element_count_out_of_range,  // of the array header
    expected_bulk_string,        // no bulk string header at the start of an argument
    length_out_of_range,         // of a bulk string header
    length_mismatch              // no CRLF after the announced number of bytes
};

// Returns the text of the error reply to the client; empty for `none`.
std::string_view to_string(ParseError error);

}  // namespace silverreach::resp
