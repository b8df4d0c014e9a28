// Holds accounts, plans and keys, and determines whether a key is valid at a given time. No I/O;
// the caller passes wall-clock times.
//
// Only changes modify the registry, and each is applied completely or not at all. The same changes
// in the same order result in the same registry on every instance.
#pragma once

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "accounts/change.h"

namespace silverreach::accounts {

struct Key {
    std::string account;
    KeyHash hash{};
    UnixTime valid_from{0};
    UnixTime valid_until = never;  // exclusive
    RevocationCause cause = RevocationCause::none;
    std::string successor;  // the key that a rotation issued to replace this one
};
struct Account {
    std::string plan;
    // The account to which its requests and keys are attributed; empty: not merged.
    std::string merged_into;
};

enum class KeyStatus {
    valid,
    malformed,
    checksum_mismatch,
    unknown,
    not_yet_valid,
    expired  // or revoked
};
// Returns the name that `silverreach keys show` prints.
std::string_view to_string(KeyStatus status);

struct KeyLookup {
    KeyStatus status = KeyStatus::unknown;
    // The account to which the key is attributed, after merges, and its plan; empty if the key is
    // unknown.
    std::string account;
    std::string plan;
    std::string key_id;
};

class Registry {
  public:
    // `clock_skew` is the largest error of an instance's clock. Keys become valid and expire
    // earlier by this much, so that no instance whose clock error is within it serves an expired
    // key.
    explicit Registry(const Pepper& pepper, UnixTime clock_skew = UnixTime(0))
        : pepper_(pepper), clock_skew_(clock_skew) {}

    // Applies the change, or returns an error and changes nothing.
    std::optional<ChangeError> apply(const Change& change);
    // Returns the error that apply() would return.
    std::optional<ChangeError> check(const Change& change) const;

    // Returns the status of the key at `now`, and its account. A time before the latest one seen
    // counts as the latest one, so that an expired key stays expired when the clock steps back.
    KeyLookup look_up(std::string_view text, UnixTime now);

    // From now on, times before `at` count as `at`.
    void advance_clock(UnixTime at) { latest_time_ = std::max(latest_time_, at); }
    UnixTime latest_time() const { return latest_time_; }
    void set_clock_skew(UnixTime skew) { clock_skew_ = skew; }

    std::uint64_t version() const { return version_; }
    const std::unordered_map<std::string, Account>& accounts() const { return accounts_; }
    // By name, with the registry version that added the plan.
    const std::map<std::string, std::uint64_t>& plans() const { return plans_; }
    const std::unordered_map<std::string, Key>& keys() const { return keys_; }  // by id
    // Returns the account to which `account` is attributed, after all merges.
    std::string resolve_merges(const std::string& account) const;
    const Pepper& pepper() const { return pepper_; }

  private:
    using Error = std::optional<ChangeError>;
    Error validate(const AddPlan& operation, UnixTime at) const;
    Error validate(const RemovePlan& operation, UnixTime at) const;
    Error validate(const PutAccount& operation, UnixTime at) const;
    Error validate(const MergeAccounts& operation, UnixTime at) const;
    Error validate(const IssueKey& operation, UnixTime at) const;
    Error validate(const RotateKey& operation, UnixTime at) const;
    Error validate(const RevokeKey& operation, UnixTime at) const;
    Error validate_new_key_id(const std::string& id) const;

    void execute(const AddPlan& operation, UnixTime at);
    void execute(const RemovePlan& operation, UnixTime at);
    void execute(const PutAccount& operation, UnixTime at);
    void execute(const MergeAccounts& operation, UnixTime at);
    void execute(const IssueKey& operation, UnixTime at);
    void execute(const RotateKey& operation, UnixTime at);
    void execute(const RevokeKey& operation, UnixTime at);

    const Account* find_account(const std::string& name) const;
    KeyStatus status_of(const Key& key, UnixTime now) const;

    Pepper pepper_;
    UnixTime clock_skew_;
    UnixTime latest_time_{0};
    std::uint64_t version_ = 0;
    std::map<std::string, std::uint64_t> plans_;
    std::unordered_map<std::string, Account> accounts_;
    std::unordered_map<std::string, Key> keys_;
};

}  // namespace silverreach::accounts
