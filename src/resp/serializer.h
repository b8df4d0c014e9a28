// Writes RESP2 commands and replies. No I/O.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace silverreach::resp {

// The header of an array; its elements follow.
void append_array(std::string& out, std::size_t elements);
void append_bulk(std::string& out, std::string_view value);

}  // namespace silverreach::resp
