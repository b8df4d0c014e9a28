// Writes RESP2 commands and replies. No I/O.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace silverreach::resp {

// Appends the header of an array; the caller appends its elements.
void append_array(std::string& out, std::size_t elements);
void append_bulk(std::string& out, std::string_view value);

}  // namespace silverreach::resp
