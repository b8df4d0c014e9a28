#include "resp/framing.h"

#include <charconv>

namespace silverreach::resp {
namespace {
constexpr std::size_t max_length_digits = 10;  // longer numbers exceed every limit
constexpr std::size_t sign_bytes = 1;

bool is_length_prefix(std::string_view text) {
    if (text.starts_with('-')) text.remove_prefix(1);
    return text.find_first_not_of("0123456789") == std::string_view::npos;
}
}  // namespace

ParseStatus parse_header(std::string_view bytes, std::size_t& position, char type,
                         std::int64_t& length) {
    if (position >= bytes.size()) return ParseStatus::incomplete;
    if (bytes[position] != type) return ParseStatus::malformed;
    const std::string_view line =
        bytes.substr(position + 1, max_length_digits + sign_bytes + crlf_bytes);
    const std::size_t end = line.find('\r');
    const std::string_view digits = line.substr(0, end);
    if (digits.size() > max_length_digits + sign_bytes || !is_length_prefix(digits))
        return ParseStatus::malformed;
    if (end == std::string_view::npos || end + 1 >= line.size()) return ParseStatus::incomplete;
    if (line[end + 1] != '\n') return ParseStatus::malformed;
    const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), length);
    if (parsed.ec != std::errc() || parsed.ptr != digits.data() + digits.size())
        return ParseStatus::malformed;
    position += 1 + end + crlf_bytes;
    return ParseStatus::complete;
}

ParseStatus parse_value_end(std::string_view bytes, std::size_t position) {
    if (bytes.size() > position && bytes[position] != '\r') return ParseStatus::malformed;
    if (bytes.size() < position + crlf_bytes) return ParseStatus::incomplete;
    return bytes[position + 1] == '\n' ? ParseStatus::complete : ParseStatus::malformed;
}

}  // namespace silverreach::resp
