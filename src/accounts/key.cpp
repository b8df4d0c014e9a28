#include "accounts/key.h"

#include <sodium.h>

#include <algorithm>

namespace silverreach::accounts {
namespace {
constexpr std::string_view prefix = "srk_", letters = "0123456789abcdefghjkmnpqrstvwxyz";

// Five bits a letter, from the first byte on.
std::string spell(const std::uint8_t* bytes, std::size_t count) {
    std::string out;
    unsigned bits = 0, have = 0;
    for (; out.size() < count; have -= 5) {
        if (have < 5) bits = bits << 8 | *bytes++, have += 8;
        out.push_back(letters[bits >> (have - 5) & 31]);
    }
    return out;
}
std::string check_of(std::string_view text) {
    std::uint8_t hash[crypto_generichash_BYTES_MIN];
    crypto_generichash(hash, sizeof hash, reinterpret_cast<const std::uint8_t*>(text.data()),
                       text.size(), nullptr, 0);
    return spell(hash, check_length);
}
bool spelled(std::string_view text) {
    return std::all_of(text.begin(), text.end(),
                       [](char c) { return letters.find(c) != std::string_view::npos; });
}
}  // namespace

KeyShape look_at(std::string_view text) {
    constexpr std::size_t separator = prefix.size() + id_length;
    if (text.size() != key_length || !text.starts_with(prefix) || text[separator] != '_') return {};
    const std::string_view id = text.substr(prefix.size(), id_length),
                           rest = text.substr(separator + 1);
    if (!spelled(id) || !spelled(rest)) return {};
    const std::size_t checked = key_length - check_length;
    if (text.substr(checked) != check_of(text.substr(0, checked))) return {Shape::mistyped, {}};
    return {Shape::sound, id};
}

std::string make_key(const Bytes32& random) {
    std::string text(prefix);
    text += spell(random.data(), id_length);
    text += "_";
    text += spell(random.data() + 7, secret_length);
    return text + check_of(text);
}

Hash hash_of(const Pepper& pepper, std::string_view text) {
    Hash hash;
    crypto_generichash(hash.data(), hash.size(), reinterpret_cast<const std::uint8_t*>(text.data()),
                       text.size(), pepper.data(), pepper.size());
    return hash;
}
bool same(const Hash& a, const Hash& b) {
    return sodium_memcmp(a.data(), b.data(), a.size()) == 0;
}

}  // namespace silverreach::accounts
