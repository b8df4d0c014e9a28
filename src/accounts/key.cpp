#include "accounts/key.h"

#include <sodium.h>

#include <algorithm>

namespace silverreach::accounts {
namespace {
constexpr std::string_view prefix = "srk_";
constexpr std::string_view alphabet = "0123456789abcdefghjkmnpqrstvwxyz";
constexpr unsigned bits_per_character = 5;
constexpr std::size_t id_random_bytes = 7;

const std::uint8_t* bytes_of(std::string_view text) {
    return reinterpret_cast<const std::uint8_t*>(text.data());
}

// Encodes the leading bits of `bytes` as `count` characters.
std::string encode_base32(const std::uint8_t* bytes, std::size_t count) {
    std::string text;
    unsigned bits = 0;
    unsigned bit_count = 0;
    while (text.size() < count) {
        if (bit_count < bits_per_character) {
            bits = bits << 8 | *bytes++;
            bit_count += 8;
        }
        bit_count -= bits_per_character;
        text.push_back(alphabet[bits >> bit_count & 31]);
    }
    return text;
}
bool is_base32(std::string_view text) {
    return text.find_first_not_of(alphabet) == std::string_view::npos;
}
std::string checksum_of(std::string_view text) {
    std::array<std::uint8_t, crypto_generichash_BYTES_MIN> hash{};
    crypto_generichash(hash.data(), hash.size(), bytes_of(text), text.size(), nullptr, 0);
    return encode_base32(hash.data(), checksum_length);
}
}  // namespace

ParsedKey parse_key(std::string_view text) {
    constexpr std::size_t separator_offset = prefix.size() + id_length;
    if (text.size() != key_length || !text.starts_with(prefix) || text[separator_offset] != '_')
        return {};
    const std::string_view id = text.substr(prefix.size(), id_length);
    if (!is_base32(id) || !is_base32(text.substr(separator_offset + 1))) return {};
    constexpr std::size_t checksum_offset = key_length - checksum_length;
    if (text.substr(checksum_offset) != checksum_of(text.substr(0, checksum_offset)))
        return {KeyFormat::checksum_mismatch, {}};
    return {KeyFormat::valid, id};
}

std::string make_key(const Bytes32& random) {
    std::string text(prefix);
    text += encode_base32(random.data(), id_length);
    text += "_";
    text += encode_base32(random.data() + id_random_bytes, secret_length);
    return text + checksum_of(text);
}

KeyHash hash_key(const Pepper& pepper, std::string_view text) {
    KeyHash hash;
    crypto_generichash(hash.data(), hash.size(), bytes_of(text), text.size(), pepper.data(),
                       pepper.size());
    return hash;
}

bool constant_time_equal(const KeyHash& left, const KeyHash& right) {
    return sodium_memcmp(left.data(), right.data(), left.size()) == 0;
}

}  // namespace silverreach::accounts
