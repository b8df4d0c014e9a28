// Small files as text.
#pragma once

#include <optional>
#include <string>

namespace silverreach::cli {

// The whole file; nothing where it cannot be opened or read to its end.
std::optional<std::string> read_file(const std::string& path);
std::string folder_of(const std::string& path);

}  // namespace silverreach::cli
