// Base64 (RFC 4648) with padding.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace silverreach::benchlink {

void append_base64(std::string& out, std::string_view bytes);
// Returns nullopt if the text is not base64 with padding.
std::optional<std::string> decode_base64(std::string_view text);

}  // namespace silverreach::benchlink
