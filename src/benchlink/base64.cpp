#include "base64.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace silverreach::benchlink {
namespace {
constexpr std::string_view alphabet =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

constexpr std::size_t bytes_per_group = 3;
constexpr std::size_t digits_per_group = 4;

// Value of each character as a base64 digit; negative: not in the alphabet.
constexpr std::array<std::int8_t, 256> digit_values = [] {
    std::array<std::int8_t, 256> values{};
    values.fill(-1);
    for (std::size_t value = 0; value < alphabet.size(); ++value)
        values[static_cast<unsigned char>(alphabet[value])] = static_cast<std::int8_t>(value);
    return values;
}();
}  // namespace

void append_base64(std::string& out, std::string_view bytes) {
    for (std::size_t start = 0; start < bytes.size(); start += bytes_per_group) {
        std::uint32_t group = 0;
        for (std::size_t index = start; index < start + bytes_per_group; ++index)
            group =
                group << 8 | (index < bytes.size() ? static_cast<unsigned char>(bytes[index]) : 0U);
        for (std::size_t digit = 0; digit < digits_per_group; ++digit) {
            const bool is_padding = start + digit > bytes.size();
            out.push_back(is_padding ? '=' : alphabet[group >> (18 - 6 * digit) & 63]);
        }
    }
}

std::optional<std::string> decode_base64(std::string_view text) {
    if (text.size() % digits_per_group != 0) return std::nullopt;
    std::size_t padding = 0;
    while (padding < 2 && padding < text.size() && text[text.size() - 1 - padding] == '=')
        ++padding;
    std::string out;
    for (std::size_t start = 0; start < text.size(); start += digits_per_group) {
        std::uint32_t group = 0;
        for (std::size_t index = start; index < start + digits_per_group; ++index) {
            const bool is_padding = index >= text.size() - padding;
            const int value =
                is_padding ? 0 : digit_values[static_cast<unsigned char>(text[index])];
            if (value < 0) return std::nullopt;
            group = group << 6 | static_cast<std::uint32_t>(value);
        }
        for (int shift = 16; shift >= 0; shift -= 8)
            out.push_back(static_cast<char>(group >> shift & 0xFF));
    }
    out.resize(out.size() - padding);
    return out;
}

}  // namespace silverreach::benchlink
