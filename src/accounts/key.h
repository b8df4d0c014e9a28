// The text of an API key, and the hash that is stored of it. No I/O.
//
//   srk_<id: 10>_<secret: 32><checksum: 4>    letters and digits of Crockford's base32, lower case
//
// The id is public: it appears in logs and lists. The checksum covers all before it, so that a
// mistyped key can be distinguished from an unknown one without a lookup. Only a keyed hash of a
// key is stored (BLAKE2b under the registry's pepper).
#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

namespace silverreach::accounts {

using Bytes32 = std::array<std::uint8_t, 32>;
using KeyHash = Bytes32;
using Pepper = Bytes32;  // the registry's secret; with it and the hashes, guesses can be tested

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

// The text of a key from 32 random bytes: 7 for the id, 20 for the secret.
std::string make_key(const Bytes32& random);

KeyHash hash_key(const Pepper& pepper, std::string_view text);
// Takes the same time whatever the hashes are.
bool constant_time_equal(const KeyHash& left, const KeyHash& right);

}  // namespace silverreach::accounts
