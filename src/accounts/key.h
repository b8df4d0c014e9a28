// The text of an API key, and the hash of it that is stored. No I/O.
//
//   srk_<id: 10>_<secret: 32><checksum: 4>    characters of Crockford's base32, in lower case
//
// The id is public: it appears in logs and listings. The checksum covers everything before it, so
// that a mistyped key is distinguished from an unknown one without a lookup. Only a keyed hash of a
// key is stored (BLAKE2b, keyed with the registry's pepper).
#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

namespace silverreach::accounts {

using Bytes32 = std::array<std::uint8_t, 32>;
using KeyHash = Bytes32;
// The registry's secret. Whoever has it and the stored hashes can test guessed keys.
using Pepper = Bytes32;

inline constexpr std::size_t id_length = 10;
inline constexpr std::size_t secret_length = 32;
inline constexpr std::size_t checksum_length = 4;
inline constexpr std::size_t key_length = 4 + id_length + 1 + secret_length + checksum_length;

enum class KeyFormat {
    valid,
    malformed,
    checksum_mismatch
};
struct ParsedKey {
    KeyFormat format = KeyFormat::malformed;
    std::string_view id;  // of a valid key; points into the text
};
ParsedKey parse_key(std::string_view text);

// Returns the text of a key made from random bytes: 7 for the id, the next 20 for the secret.
std::string make_key(const Bytes32& random);

KeyHash hash_key(const Pepper& pepper, std::string_view text);
// The time that the comparison takes does not depend on the hashes.
bool constant_time_equal(const KeyHash& left, const KeyHash& right);

}  // namespace silverreach::accounts
