// The changes that make up a registry of accounts, plans and keys, and the errors of rejected ones.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "accounts/key.h"

namespace silverreach::accounts {

using UnixTime = std::chrono::milliseconds;  // since the Unix epoch
inline constexpr UnixTime never = UnixTime::max();

// The numeric values are stored in the log.
enum class RevocationCause {
    none,  // not revoked
    requested,
    leaked,
    account_closed,
    account_merged
};
// Convert to and from the names that are used on the command line and in listings.
std::string_view to_string(RevocationCause cause);
std::optional<RevocationCause> parse_revocation_cause(std::string_view name);

struct AddPlan {
    std::string plan;
};
struct RemovePlan {
    std::string plan;
    std::string successor;  // the plan that its accounts move to; may be empty if it has none
};
// Adds an account, or moves it to another plan.
struct PutAccount {
    std::string account;
    std::string plan;
};
// Attributes the requests and keys of `from` to `into` from now on.
struct MergeAccounts {
    std::string from;
    std::string into;
};
struct IssueKey {
    std::string id;
    std::string account;
    KeyHash hash{};
    UnixTime valid_from{0};
    UnixTime valid_until = never;
};
// Issues the key `successor` to replace `id`; both are valid until the overlap ends.
struct RotateKey {
    std::string id;
    std::string successor;
    KeyHash hash{};
    UnixTime overlap{0};  // duration
};
struct RevokeKey {
    std::string id;
    UnixTime valid_until{0};
    RevocationCause cause = RevocationCause::requested;
};
// The index of the alternative is stored in the log, so the order must not change.
using Operation =
    std::variant<AddPlan, RemovePlan, PutAccount, MergeAccounts, IssueKey, RotateKey, RevokeKey>;

struct Change {
    std::uint64_t version = 0;  // one more than the version of the registry that it applies to
    UnixTime at{0};             // when the change was made
    Operation operation;
};

enum class ChangeErrorCode {
    version_mismatch,  // the change's version does not follow the registry's
    invalid_argument,
    already_exists,
    not_found,
    failed_precondition  // the state of the plan, account or key does not allow it
};
struct ChangeError {
    ChangeErrorCode code;
    std::string message;
};

}  // namespace silverreach::accounts
