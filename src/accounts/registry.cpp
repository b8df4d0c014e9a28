#include "accounts/registry.h"

#include <algorithm>
#include <array>

namespace silverreach::accounts {
namespace {
constexpr std::array<std::string_view, 5> causes = {"none", "asked", "leaked", "closed", "merged"};
constexpr std::size_t most_name = 200;

// Names go into logs, files and messages as they are.
bool sound_name(std::string_view name) {
    return !name.empty() && name.size() <= most_name &&
           std::all_of(name.begin(), name.end(), [](unsigned char c) {
               return c > 0x20 && c < 0x7F && c != '"' && c != '\\';
           });
}
bool sound_id(std::string_view id) {
    return id.size() == id_length && sound_name(id);
}
}  // namespace

std::string_view to_string(Cause cause) {
    return causes[static_cast<std::size_t>(cause)];
}
std::optional<Cause> cause_of(std::string_view name) {
    for (std::size_t i = 0; i < causes.size(); ++i)
        if (causes[i] == name) return static_cast<Cause>(i);
    return std::nullopt;
}
std::string_view to_string(Verdict verdict) {
    constexpr std::array<std::string_view, 6> names = {"served",  "malformed", "mistyped",
                                                       "unknown", "early",     "cut off"};
    return names[static_cast<std::size_t>(verdict)];
}

std::string Registry::check(const Change& change) const {
    if (change.version != version_ + 1)
        return "version " + std::to_string(change.version) + " does not follow " +
               std::to_string(version_);
    return why_not(change.deed, change.at);
}
std::string Registry::apply(const Change& change) {
    if (std::string why = check(change); !why.empty()) return why;
    make(change.deed, change.at);
    version_ = change.version;
    latest_ = std::max(latest_, change.at);
    return {};
}

std::string Registry::why_not(const Deed& deed, Wall at) const {
    const auto account = [&](const std::string& name) -> const Account* {
        const auto it = accounts_.find(name);
        return it == accounts_.end() ? nullptr : &it->second;
    };
    const auto fresh_id = [&](const std::string& id) -> std::string {
        if (!sound_id(id))
            return "key id '" + id + "' is not of " + std::to_string(id_length) + " letters";
        return keys_.contains(id) ? "key " + id + " exists already" : "";
    };
    if (const auto* d = std::get_if<AddPlan>(&deed)) {
        if (!sound_name(d->plan))
            return "a plan's name is 1 to 200 printable characters without spaces";
        return plans_.contains(d->plan) ? "plan " + d->plan + " exists already" : "";
    }
    if (const auto* d = std::get_if<RemovePlan>(&deed)) {
        if (!plans_.contains(d->plan)) return "no plan " + d->plan;
        const bool used = std::any_of(accounts_.begin(), accounts_.end(),
                                      [&](const auto& a) { return a.second.plan == d->plan; });
        if (!used && d->successor.empty()) return "";
        if (d->successor.empty())
            return "plan " + d->plan + " is in use: name the plan that its accounts go over to";
        return d->successor == d->plan || !plans_.contains(d->successor)
                   ? "no plan " + d->successor + " to go over to"
                   : "";
    }
    if (const auto* d = std::get_if<PutAccount>(&deed)) {
        if (!sound_name(d->account))
            return "an account's name is 1 to 200 printable characters without spaces";
        if (!plans_.contains(d->plan)) return "no plan " + d->plan;
        const Account* a = account(d->account);
        return a && !a->merged_into.empty()
                   ? "account " + d->account + " is merged into " + a->merged_into
                   : "";
    }
    if (const auto* d = std::get_if<MergeAccounts>(&deed)) {
        const Account *from = account(d->from), *into = account(d->into);
        if (!from) return "no account " + d->from;
        if (!into) return "no account " + d->into;
        if (!from->merged_into.empty())
            return "account " + d->from + " is merged into " + from->merged_into + " already";
        return counts_for(d->into) == d->from
                   ? "account " + d->into + " counts for " + d->from + " itself"
                   : "";
    }
    if (const auto* d = std::get_if<IssueKey>(&deed)) {
        if (std::string why = fresh_id(d->id); !why.empty()) return why;
        if (!account(d->account)) return "no account " + d->account;
        return d->cutoff <= d->start ? "the key would end before it starts" : "";
    }
    if (const auto* d = std::get_if<RotateKey>(&deed)) {
        const auto it = keys_.find(d->id);
        if (it == keys_.end()) return "no key " + d->id;
        if (it->second.cutoff <= at) return "key " + d->id + " has ended; issue a new one";
        if (!it->second.successor.empty())
            return "key " + d->id + " is rotated already, to " + it->second.successor;
        if (d->overlap < Wall(0)) return "an overlap of 0 or more";
        return fresh_id(d->successor);
    }
    const auto& d = std::get<RevokeKey>(deed);
    const auto it = keys_.find(d.id);
    if (it == keys_.end()) return "no key " + d.id;
    if (d.cause == Cause::none) return "a cause of revocation";
    return it->second.cutoff <= d.cutoff ? "key " + d.id + " ends before that already" : "";
}

void Registry::make(const Deed& deed, Wall at) {
    if (const auto* d = std::get_if<AddPlan>(&deed)) plans_[d->plan] = version_ + 1;
    if (const auto* d = std::get_if<RemovePlan>(&deed)) {
        for (auto& [name, a] : accounts_)
            if (a.plan == d->plan) a.plan = d->successor;
        plans_.erase(d->plan);
    }
    if (const auto* d = std::get_if<PutAccount>(&deed)) accounts_[d->account].plan = d->plan;
    if (const auto* d = std::get_if<MergeAccounts>(&deed)) accounts_[d->from].merged_into = d->into;
    if (const auto* d = std::get_if<IssueKey>(&deed))
        keys_[d->id] = {d->account, d->hash, d->start, d->cutoff, Cause::none, {}};
    if (const auto* d = std::get_if<RotateKey>(&deed)) {
        Key& old = keys_.at(d->id);
        // The new one lasts as long as the old one was to; the old one's end only ever comes
        // nearer.
        const Key fresh{old.account, d->hash, at, old.cutoff, Cause::none, {}};
        old.cutoff = std::min(old.cutoff, at + std::min(d->overlap, Wall(Wall::max() - at)));
        old.successor = d->successor;
        keys_[d->successor] = fresh;
    }
    if (const auto* d = std::get_if<RevokeKey>(&deed)) {
        Key& key = keys_.at(d->id);
        key.cutoff = d->cutoff, key.cause = d->cause;
    }
}

std::string Registry::counts_for(const std::string& account) const {
    std::string name = account;
    for (auto it = accounts_.find(name); it != accounts_.end() && !it->second.merged_into.empty();
         it = accounts_.find(name))
        name = it->second.merged_into;
    return name;
}

Served Registry::look_up(std::string_view text, Wall now) {
    now = latest_ = std::max(latest_, now);
    const KeyShape shape = look_at(text);
    if (shape.shape != Shape::sound)
        return {
            shape.shape == Shape::mistyped ? Verdict::mistyped : Verdict::malformed, {}, {}, {}};
    // The hash is taken whether the id is known or not: time tells nothing of which ids there are.
    const Hash hash = hash_of(pepper_, text);
    const auto it = keys_.find(std::string(shape.id));
    static const Key nobody;
    const Key& key = it == keys_.end() ? nobody : it->second;
    const bool matches = same(hash, key.hash);
    if (it == keys_.end() || !matches) return {Verdict::unknown, {}, {}, {}};
    Served served{Verdict::served, {}, {}, it->first};
    auto account = accounts_.find(key.account);
    while (account != accounts_.end() && !account->second.merged_into.empty())
        account = accounts_.find(account->second.merged_into);
    if (account != accounts_.end())
        served.account = account->first, served.plan = account->second.plan;
    if (key.cutoff != never && now + skew_ >= key.cutoff)
        served.verdict = Verdict::cut_off;
    else if (now + skew_ < key.start)
        served.verdict = Verdict::early;
    return served;
}

}  // namespace silverreach::accounts
