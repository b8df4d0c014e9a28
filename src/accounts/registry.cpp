#include "accounts/registry.h"

#include <array>

namespace silverreach::accounts {
namespace {
constexpr std::size_t max_name_length = 200;

// Names are written to logs, files and messages without escaping.
bool is_valid_name(std::string_view name) {
    return !name.empty() && name.size() <= max_name_length &&
           std::all_of(name.begin(), name.end(), [](unsigned char character) {
               return character > 0x20 && character < 0x7F && character != '"' && character != '\\';
           });
}

ChangeError invalid_argument(std::string message) {
    return {ChangeErrorCode::invalid_argument, std::move(message)};
}
ChangeError already_exists(std::string message) {
    return {ChangeErrorCode::already_exists, std::move(message)};
}
ChangeError not_found(std::string message) {
    return {ChangeErrorCode::not_found, std::move(message)};
}
ChangeError failed_precondition(std::string message) {
    return {ChangeErrorCode::failed_precondition, std::move(message)};
}
}  // namespace

std::string_view to_string(KeyStatus status) {
    constexpr std::array<std::string_view, 6> names = {"served",  "malformed", "mistyped",
                                                       "unknown", "early",     "cut off"};
    return names[static_cast<std::size_t>(status)];
}

std::optional<ChangeError> Registry::check(const Change& change) const {
    if (change.version != version_ + 1)
        return ChangeError{ChangeErrorCode::version_mismatch,
                           "version " + std::to_string(change.version) +
                               " of the change does not follow the registry's version " +
                               std::to_string(version_)};
    return std::visit([&](const auto& operation) { return validate(operation, change.at); },
                      change.operation);
}

std::optional<ChangeError> Registry::apply(const Change& change) {
    if (auto error = check(change)) return error;
    std::visit([&](const auto& operation) { execute(operation, change.at); }, change.operation);
    version_ = change.version;
    advance_clock(change.at);
    return std::nullopt;
}

// ---- validation ----

Registry::Error Registry::validate(const AddPlan& operation, UnixTime) const {
    if (!is_valid_name(operation.plan))
        return invalid_argument(
            "a plan name must have 1 to 200 printable ASCII characters other than spaces, double "
            "quotes and backslashes");
    if (plans_.contains(operation.plan))
        return already_exists("plan " + operation.plan + " already exists");
    return std::nullopt;
}

Registry::Error Registry::validate(const RemovePlan& operation, UnixTime) const {
    const auto& [plan, successor] = operation;
    if (!plans_.contains(plan)) return not_found("there is no plan " + plan);
    const bool in_use =
        std::any_of(accounts_.begin(), accounts_.end(),
                    [&name = plan](const auto& entry) { return entry.second.plan == name; });
    if (successor.empty()) {
        if (!in_use) return std::nullopt;
        return failed_precondition("plan " + plan +
                                   " is in use; specify the plan that its accounts move to");
    }
    if (successor == plan || !plans_.contains(successor))
        return not_found("there is no plan " + successor + " that the accounts can move to");
    return std::nullopt;
}

Registry::Error Registry::validate(const PutAccount& operation, UnixTime) const {
    if (!is_valid_name(operation.account))
        return invalid_argument(
            "an account name must have 1 to 200 printable ASCII characters other than spaces, "
            "double quotes and backslashes");
    if (!plans_.contains(operation.plan)) return not_found("there is no plan " + operation.plan);
    const Account* account = find_account(operation.account);
    if (account && !account->merged_into.empty())
        return failed_precondition("account " + operation.account + " has been merged into " +
                                   account->merged_into);
    return std::nullopt;
}

Registry::Error Registry::validate(const MergeAccounts& operation, UnixTime) const {
    const Account* from = find_account(operation.from);
    if (!from) return not_found("there is no account " + operation.from);
    if (!find_account(operation.into)) return not_found("there is no account " + operation.into);
    if (!from->merged_into.empty())
        return failed_precondition("account " + operation.from + " has been merged into " +
                                   from->merged_into + " already");
    if (resolve_merges(operation.into) == operation.from)
        return failed_precondition("account " + operation.into + " is attributed to " +
                                   operation.from + ", which cannot be merged into it");
    return std::nullopt;
}

Registry::Error Registry::validate(const IssueKey& operation, UnixTime) const {
    if (auto error = validate_new_key_id(operation.id)) return error;
    if (!find_account(operation.account))
        return not_found("there is no account " + operation.account);
    if (operation.valid_until <= operation.valid_from)
        return invalid_argument("the key must expire after it becomes valid");
    return std::nullopt;
}

Registry::Error Registry::validate(const RotateKey& operation, UnixTime at) const {
    const auto it = keys_.find(operation.id);
    if (it == keys_.end()) return not_found("there is no key " + operation.id);
    const Key& key = it->second;
    if (key.valid_until <= at)
        return failed_precondition("key " + operation.id + " has expired; issue a new one");
    if (!key.successor.empty())
        return failed_precondition("key " + operation.id + " has already been rotated to " +
                                   key.successor);
    if (operation.overlap < UnixTime(0))
        return invalid_argument("the overlap must not be negative");
    return validate_new_key_id(operation.successor);
}

Registry::Error Registry::validate(const RevokeKey& operation, UnixTime) const {
    const auto it = keys_.find(operation.id);
    if (it == keys_.end()) return not_found("there is no key " + operation.id);
    if (operation.cause == RevocationCause::none)
        return invalid_argument("a revocation requires a cause");
    if (it->second.valid_until <= operation.valid_until)
        return failed_precondition("key " + operation.id +
                                   " already expires at or before the time of the revocation");
    return std::nullopt;
}

Registry::Error Registry::validate_new_key_id(const std::string& id) const {
    if (id.size() != id_length || !is_valid_name(id))
        return invalid_argument("key id '" + id + "' must have " + std::to_string(id_length) +
                                " printable characters");
    if (keys_.contains(id)) return already_exists("key " + id + " already exists");
    return std::nullopt;
}

// ---- execution of validated operations ----

void Registry::execute(const AddPlan& operation, UnixTime) {
    plans_[operation.plan] = version_ + 1;
}

void Registry::execute(const RemovePlan& operation, UnixTime) {
    for (auto& [name, account] : accounts_)
        if (account.plan == operation.plan) account.plan = operation.successor;
    plans_.erase(operation.plan);
}

void Registry::execute(const PutAccount& operation, UnixTime) {
    accounts_[operation.account].plan = operation.plan;
}

void Registry::execute(const MergeAccounts& operation, UnixTime) {
    accounts_[operation.from].merged_into = operation.into;
}

void Registry::execute(const IssueKey& operation, UnixTime) {
    keys_[operation.id] = {operation.account,     operation.hash,        operation.valid_from,
                           operation.valid_until, RevocationCause::none, {}};
}

// The successor takes over the old key's expiry. A rotation moves the old key's expiry only to an
// earlier time.
void Registry::execute(const RotateKey& operation, UnixTime at) {
    Key& old_key = keys_.at(operation.id);
    const Key successor{old_key.account,     operation.hash,        at,
                        old_key.valid_until, RevocationCause::none, {}};
    const UnixTime max_overlap = UnixTime::max() - at;
    old_key.valid_until =
        std::min(old_key.valid_until, at + std::min(operation.overlap, max_overlap));
    old_key.successor = operation.successor;
    keys_[operation.successor] = successor;
}

void Registry::execute(const RevokeKey& operation, UnixTime) {
    Key& key = keys_.at(operation.id);
    key.valid_until = operation.valid_until;
    key.cause = operation.cause;
}

// ---- lookup ----

const Account* Registry::find_account(const std::string& name) const {
    const auto it = accounts_.find(name);
    return it == accounts_.end() ? nullptr : &it->second;
}

std::string Registry::resolve_merges(const std::string& account) const {
    const std::string* name = &account;
    for (const Account* entry = find_account(*name); entry && !entry->merged_into.empty();
         entry = find_account(*name))
        name = &entry->merged_into;
    return *name;
}

KeyStatus Registry::status_of(const Key& key, UnixTime now) const {
    if (key.valid_until != never && now + clock_skew_ >= key.valid_until) return KeyStatus::expired;
    if (now + clock_skew_ < key.valid_from) return KeyStatus::not_yet_valid;
    return KeyStatus::valid;
}

KeyLookup Registry::look_up(std::string_view text, UnixTime now) {
    advance_clock(now);
    const ParsedKey parsed = parse_key(text);
    if (parsed.format == KeyFormat::malformed) return {KeyStatus::malformed, {}, {}, {}};
    if (parsed.format == KeyFormat::checksum_mismatch)
        return {KeyStatus::checksum_mismatch, {}, {}, {}};
    // The hash is computed and compared for unknown ids as well, so that the response time does not
    // reveal which ids exist.
    static const Key unknown_key;
    const KeyHash hash = hash_key(pepper_, text);
    const auto it = keys_.find(std::string(parsed.id));
    const bool known = it != keys_.end();
    const Key& key = known ? it->second : unknown_key;
    const bool hash_matches = constant_time_equal(hash, key.hash);
    if (!known || !hash_matches) return {KeyStatus::unknown, {}, {}, {}};
    KeyLookup found{status_of(key, latest_time_), {}, {}, it->first};
    auto account = accounts_.find(key.account);
    while (account != accounts_.end() && !account->second.merged_into.empty())
        account = accounts_.find(account->second.merged_into);
    if (account == accounts_.end()) return found;
    found.account = account->first;
    found.plan = account->second.plan;
    return found;
}

}  // namespace silverreach::accounts
