// Accounts, plans and keys, and what a key is worth at a moment. No I/O; time is given, by the wall
// clock.
//
// The registry changes by changes alone, each of which is applied whole or not at all. The same
// changes in the same order give the same registry everywhere.
#pragma once

#include <algorithm>
#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

#include "accounts/key.h"

namespace silverreach::accounts {

using Wall = std::chrono::milliseconds;  // since 1970
inline constexpr Wall never = Wall::max();

enum class Cause {
    none,
    asked,
    leaked,
    closed,
    merged
};
std::string_view to_string(Cause cause);
std::optional<Cause> cause_of(std::string_view name);

struct Key {
    std::string account;
    Hash hash{};
    Wall start{0};        // not served before
    Wall cutoff = never;  // never served from then on
    Cause cause = Cause::none;
    std::string successor;  // the key that replaces it
};
struct Account {
    std::string plan;
    std::string merged_into;  // its use and its keys are that one's; empty: none
};

// ---- changes; each carries the moment at which it was made ----
struct AddPlan {
    std::string plan;
};
struct RemovePlan {  // its accounts go over to another
    std::string plan, successor;
};
struct PutAccount {  // adds it, or moves it to another plan
    std::string account, plan;
};
struct MergeAccounts {
    std::string from, into;
};
struct IssueKey {
    std::string id, account;
    Hash hash{};
    Wall start{0}, cutoff = never;
};
struct RotateKey {  // both work until the overlap ends
    std::string id, successor;
    Hash hash{};
    Wall overlap{0};
};
struct RevokeKey {
    std::string id;
    Wall cutoff{0};
    Cause cause = Cause::asked;
};
using Deed =
    std::variant<AddPlan, RemovePlan, PutAccount, MergeAccounts, IssueKey, RotateKey, RevokeKey>;
struct Change {
    std::uint64_t version = 0;  // one more than that of the registry it applies to
    Wall at{0};
    Deed deed;
};

enum class Verdict {
    served,
    malformed,
    mistyped,
    unknown,
    early,
    cut_off
};
std::string_view to_string(Verdict verdict);

struct Served {
    Verdict verdict = Verdict::unknown;
    std::string account, plan, key_id;  // the account that counts, after merges
};

class Registry {
  public:
    explicit Registry(const Pepper& pepper, Wall skew = Wall(0)) : pepper_(pepper), skew_(skew) {}

    // Empty: applied. Else a plain word on why not, and nothing has changed.
    std::string apply(const Change& change);
    // What would be said, with nothing changed.
    std::string check(const Change& change) const;

    // What the text is worth. Clocks may be wrong by up to the skew: a key starts that much earlier
    // and ends that much earlier, so that no clock within it serves a key past its cutoff. A clock
    // that steps back is not followed below the latest moment seen.
    Served look_up(std::string_view text, Wall now);

    // Moments before this one are not believed any more.
    void not_before(Wall at) { latest_ = std::max(latest_, at); }
    Wall latest() const { return latest_; }
    void set_skew(Wall skew) { skew_ = skew; }

    std::uint64_t version() const { return version_; }
    const std::unordered_map<std::string, Account>& accounts() const { return accounts_; }
    const std::map<std::string, std::uint64_t>& plans() const {
        return plans_;
    }  // and the version that added each
    const std::unordered_map<std::string, Key>& keys() const { return keys_; }
    // The account that counts for this one: merges are followed to their end.
    std::string counts_for(const std::string& account) const;
    const Pepper& pepper() const { return pepper_; }

  private:
    std::string why_not(const Deed& deed, Wall at) const;
    void make(const Deed& deed, Wall at);
    Pepper pepper_;
    Wall skew_, latest_{0};
    std::uint64_t version_ = 0;
    std::map<std::string, std::uint64_t> plans_;
    std::unordered_map<std::string, Account> accounts_;
    std::unordered_map<std::string, Key> keys_;  // by id
};

}  // namespace silverreach::accounts
