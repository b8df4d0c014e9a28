// The text of a key, and how one is kept. No I/O.
//
//   srk_<id: 10>_<secret: 32><check: 4>       letters and digits of Crockford's base32, lower case
//
// The id is public: it is in logs and lists. The check part is a hash of all before it, so that a
// mistyped key is told from an unknown one without a look at any list. A key is kept only as a
// keyed hash (BLAKE2b under the registry's own secret), and compared in constant time.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace silverreach::accounts {

using Bytes32 = std::array<std::uint8_t, 32>;
using Hash = Bytes32;
using Pepper = Bytes32;  // the registry's secret; whoever has it and the hashes can test guesses

inline constexpr std::size_t id_length = 10, secret_length = 32, check_length = 4;
inline constexpr std::size_t key_length = 4 + id_length + 1 + secret_length + check_length;

enum class Shape {
    sound,
    malformed,
    mistyped
};
struct KeyShape {
    Shape shape = Shape::malformed;
    std::string_view id;  // of a sound key; points into the text
};
KeyShape look_at(std::string_view text);

// A key from 32 random bytes: 7 for the id's letters, 20 for the secret's.
std::string make_key(const Bytes32& random);

Hash hash_of(const Pepper& pepper, std::string_view text);
bool same(const Hash& a, const Hash& b);  // in constant time

}  // namespace silverreach::accounts
