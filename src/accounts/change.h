// The changes that a registry of accounts, plans and keys consists of, and why one is rejected.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "accounts/key.h"

namespace silverreach::accounts {

using UnixTime = std::chrono::milliseconds;  // since 1970
inline constexpr UnixTime never = UnixTime::max();

// Values are stored in the log.
enum class RevocationCause {
    none,  // not revoked
    requested,
    leaked,
    account_closed,
    account_merged
};
// The names that commands and lists use.
std::string_view to_string(RevocationCause cause);
std::optional<RevocationCause> parse_revocation_cause(std::string_view name);

struct AddPlan {
    std::string plan;
};
struct RemovePlan {
    std::string plan;
    std::string successor;  // the plan that its accounts move to; may be empty where it has none
};
// Adds an account, or moves it to another plan.
struct PutAccount {
    std::string account;
    std::string plan;
};
// Requests and keys of `from` count for `into` from now on.
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
// Issues `successor`; both keys are valid until the overlap ends.
struct RotateKey {
    std::string id;
    std::string successor;
    KeyHash hash{};
    UnixTime overlap{0};
};
struct RevokeKey {
    std::string id;
    UnixTime valid_until{0};
    RevocationCause cause = RevocationCause::requested;
};
// The alternatives' order is stored in the log.
using Operation =
    std::variant<AddPlan, RemovePlan, PutAccount, MergeAccounts, IssueKey, RotateKey, RevokeKey>;

struct Change {
    std::uint64_t version = 0;  // one more than the version of the registry it applies to
    UnixTime at{0};             // when it was made
    Operation operation;
};

enum class ChangeErrorCode {
    version_mismatch,  // it does not follow the registry's version
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
