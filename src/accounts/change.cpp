#include "accounts/change.h"

#include <algorithm>
#include <array>

namespace silverreach::accounts {
namespace {
constexpr std::array<std::string_view, 5> cause_names = {"none", "asked", "leaked", "closed",
                                                         "merged"};
}

std::string_view to_string(RevocationCause cause) {
    return cause_names[static_cast<std::size_t>(cause)];
}

std::optional<RevocationCause> parse_revocation_cause(std::string_view name) {
    const auto it = std::find(cause_names.begin(), cause_names.end(), name);
    if (it == cause_names.end()) return std::nullopt;
    return static_cast<RevocationCause>(it - cause_names.begin());
}

}  // namespace silverreach::accounts
