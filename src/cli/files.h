// Reads small files as text.
#pragma once

#include <optional>
#include <string>

namespace silverreach::cli {

// Returns the complete content; nothing if the file cannot be opened or read.
std::optional<std::string> read_file(const std::string& path);
// Returns the path of the folder that contains `path`; "." if it names none.
std::string folder_of(const std::string& path);

}  // namespace silverreach::cli
