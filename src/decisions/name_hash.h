// A hash of names that is the same on every instance and in every version: it determines which
// instance owns a customer's quota, and lease messages contain it.
#pragma once

#include <cstdint>
#include <string_view>

namespace silverreach {

// FNV-1a, 32 bits.
constexpr std::uint32_t hash_name(std::string_view name) {
    std::uint32_t hash = 2166136261U;
    for (const char character : name)
        hash = (hash ^ static_cast<unsigned char>(character)) * 16777619U;
    return hash;
}

}  // namespace silverreach
