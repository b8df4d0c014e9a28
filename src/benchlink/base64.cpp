#include "base64.h"

#include <array>
#include <cstdint>

namespace silverreach::benchlink {
namespace {
constexpr std::string_view alphabet =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

constexpr std::array<std::int8_t, 256> reverse = [] {
    std::array<std::int8_t, 256> table{};
    table.fill(-1);
    for (std::size_t i = 0; i < alphabet.size(); ++i)
        table[static_cast<unsigned char>(alphabet[i])] = static_cast<std::int8_t>(i);
    return table;
}();
}  // namespace

void append_base64(std::string& out, std::string_view bytes) {
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t group = 0;
        for (std::size_t k = 0; k < 3; ++k)
            group =
                group << 8 | (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k]) : 0u);
        for (std::size_t k = 0; k < 4; ++k)
            out.push_back(i + k <= bytes.size() ? alphabet[group >> (18 - 6 * k) & 63] : '=');
    }
}

std::optional<std::string> from_base64(std::string_view text) {
    if (text.size() % 4 != 0) return std::nullopt;
    std::size_t pad = 0;
    while (pad < 2 && pad < text.size() && text[text.size() - 1 - pad] == '=')
        ++pad;
    std::string out;
    for (std::size_t i = 0; i < text.size(); i += 4) {
        std::uint32_t group = 0;
        for (std::size_t k = 0; k < 4; ++k) {
            const bool padding = i + k >= text.size() - pad;
            const int value = padding ? 0 : reverse[static_cast<unsigned char>(text[i + k])];
            if (value < 0) return std::nullopt;
            group = group << 6 | static_cast<std::uint32_t>(value);
        }
        for (int shift = 16; shift >= 0; shift -= 8)
            out.push_back(static_cast<char>(group >> shift & 0xFF));
    }
    out.resize(out.size() - pad);
    return out;
}

}  // namespace silverreach::benchlink
