#include "cli/keys.h"

#include <fmt/format.h>

#include <CLI/CLI.hpp>
#include <array>
#include <ctime>
#include <iostream>

#include "cli/commands.h"
#include "registry/store.h"
#include "registry/wall_clock.h"

namespace silverreach::cli {
namespace {
using namespace accounts;

struct Options {
    std::string folder, account, plan, successor, id, into, cause = "asked";
    double start_s = 0, valid_s = 0, overlap_s = 86400, after_s = 0;
    bool dry = false, make = false;
};

using registry::wall_clock_now;

UnixTime of_seconds(double seconds) {
    return UnixTime(static_cast<std::int64_t>(seconds * 1000));
}
std::string time_text(UnixTime time) {
    if (time == never) return "never";
    const std::time_t seconds = time.count() / 1000;
    std::tm t{};
    gmtime_r(&seconds, &t);
    std::array<char, 32> text{};
    std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%SZ", &t);
    return text.data();
}

int guarded(const std::function<int()>& body) {
    try {
        return body();
    } catch (const std::exception& error) {
        std::cerr << error.what() << "\n";
        return Exit::system_refused;
    }
}

// Commits the operation; with --dry-run only checks it. Returns the error; empty on success.
std::string commit_or_check(const Options& o, registry::Store& store, const Operation& operation) {
    const UnixTime at = wall_clock_now();
    if (!o.dry) {
        const auto error = store.commit(operation, at);
        return error ? error->message : "";
    }
    const auto error = store.registry().check({store.registry().version() + 1, at, operation});
    return error ? error->message : "";
}

int change(const Options& o, const Operation& operation, const std::string& said) {
    return guarded([&]() -> int {
        registry::Disk disk;
        registry::Store store(o.folder,
                              o.dry ? registry::Store::Mode::read : registry::Store::Mode::write,
                              o.make && !o.dry, disk);
        const std::string why = commit_or_check(o, store, operation);
        if (!why.empty()) {
            std::cerr << why << "\n";
            return Exit::bad_answer;
        }
        std::cout << (o.dry ? "would do: " : "") << said
                  << fmt::format(" (version {})\n", store.registry().version() + (o.dry ? 1 : 0));
        return Exit::done;
    });
}

// Makes a key and commits the operation that adds it. The key's text is printed once, after the
// operation is durable, and is not stored.
int with_new_key(
    const Options& o,
    const std::function<Operation(const std::string& id, const KeyHash&)>& operation_of,
    const std::string& what) {
    return guarded([&]() -> int {
        registry::Disk disk;
        registry::Store store(o.folder,
                              o.dry ? registry::Store::Mode::read : registry::Store::Mode::write,
                              false, disk);
        const std::string text = make_key(registry::random_bytes());
        const std::string id(parse_key(text).id);
        const Operation operation = operation_of(id, hash_key(store.registry().pepper(), text));
        const std::string why = commit_or_check(o, store, operation);
        if (!why.empty()) {
            std::cerr << why << "\n";
            return Exit::bad_answer;
        }
        if (o.dry)
            std::cout << "would do: " << what << "\n";
        else
            std::cout << what << ": key " << id << ", shown this once:\n" << text << "\n";
        return Exit::done;
    });
}

int list(const Options& o) {
    return guarded([&]() -> int {
        registry::Disk disk;
        registry::Store store(o.folder, registry::Store::Mode::read, false, disk);
        const Registry& r = store.registry();
        std::cout << fmt::format("version {}, {} plans, {} accounts, {} keys\n", r.version(),
                                 r.plans().size(), r.accounts().size(), r.keys().size());
        const std::map<std::string, Account> sorted(r.accounts().begin(), r.accounts().end());
        for (const auto& [name, a] : sorted) {
            if (!o.account.empty() && name != o.account) continue;
            std::cout << fmt::format(
                "{}  plan {}{}\n", name, a.plan,
                a.merged_into.empty() ? "" : "  counts for " + r.resolve_merges(name));
            std::map<std::string, const Key*> ordered;
            for (const auto& [id, key] : r.keys())
                if (key.account == name) ordered[id] = &key;
            for (const auto& [id, key] : ordered)
                std::cout << fmt::format(
                    "  {}  from {}  until {}{}{}\n", id, time_text(key->valid_from),
                    time_text(key->valid_until),
                    key->cause == RevocationCause::none
                        ? ""
                        : fmt::format("  revoked: {}", to_string(key->cause)),
                    key->successor.empty() ? "" : "  followed by " + key->successor);
        }
        return Exit::done;
    });
}

int show(const Options& o) {
    return guarded([&]() -> int {
        registry::Disk disk;
        registry::Store store(o.folder, registry::Store::Mode::read, false, disk);
        std::string text;
        std::getline(std::cin, text);
        const KeyLookup found = store.registry().look_up(text, wall_clock_now());
        std::cout << to_string(found.status);
        if (!found.account.empty())
            std::cout << fmt::format("  key {}  account {}  plan {}", found.key_id, found.account,
                                     found.plan);
        std::cout << "\n";
        return found.status == KeyStatus::valid ? Exit::done : Exit::bad_answer;
    });
}
}  // namespace

void add_key_commands(CLI::App& app, int& code) {
    auto o = std::make_shared<Options>();
    auto* keys = app.add_subcommand("keys", "Accounts, plans and keys: a registry in a folder");
    keys->require_subcommand(1);
    const auto command = [&](const char* name, const char* what, bool changes) {
        auto* c = keys->add_subcommand(name, what);
        c->add_option("--registry", o->folder, "The registry's folder")->required();
        if (changes) c->add_flag("--dry-run", o->dry, "Say what would be done, change nothing");
        return c;
    };
    auto* plan = command("plan", "Add a plan; the first makes the registry with --make", true);
    plan->add_option("NAME", o->plan)->required();
    plan->add_flag("--make", o->make, "Make the folder where there is none");
    plan->callback(
        [o, &code] { code = change(*o, AddPlan{o->plan}, "plan " + o->plan + " added"); });

    auto* drop = command("drop-plan", "Remove a plan; its accounts go over to another", true);
    drop->add_option("NAME", o->plan)->required();
    drop->add_option("--to", o->successor, "The plan that its accounts go over to");
    drop->callback([o, &code] {
        code = change(*o, RemovePlan{o->plan, o->successor}, "plan " + o->plan + " removed");
    });

    auto* account = command("account", "Add an account, or move it to another plan", true);
    account->add_option("NAME", o->account)->required();
    account->add_option("--plan", o->plan)->required();
    account->callback([o, &code] {
        code = change(*o, PutAccount{o->account, o->plan},
                      "account " + o->account + " on plan " + o->plan);
    });

    auto* merge =
        command("merge", "Count one account's keys and use for another from now on", true);
    merge->add_option("FROM", o->account)->required();
    merge->add_option("INTO", o->into)->required();
    merge->callback([o, &code] {
        code =
            change(*o, MergeAccounts{o->account, o->into}, o->account + " counts for " + o->into);
    });

    auto* issue = command("issue", "Make a key for an account; its text is shown once", true);
    issue->add_option("ACCOUNT", o->account)->required();
    issue->add_option("--starts-in-s", o->start_s, "Seconds until it is served")
        ->check(CLI::NonNegativeNumber);
    issue->add_option("--valid-s", o->valid_s, "Seconds that it is served; 0: without end")
        ->check(CLI::NonNegativeNumber);
    issue->callback([o, &code] {
        code = with_new_key(
            *o,
            [o](const std::string& id, const KeyHash& hash) {
                const UnixTime start = wall_clock_now() + of_seconds(o->start_s);
                return Operation(IssueKey{id, o->account, hash, start,
                                          o->valid_s > 0 ? start + of_seconds(o->valid_s) : never});
            },
            "issued for " + o->account);
    });

    auto* rotate = command(
        "rotate", "Make a key that follows another; both work until the overlap ends", true);
    rotate->add_option("ID", o->id)->required();
    rotate->add_option("--overlap-s", o->overlap_s, "Seconds; a day by default")
        ->check(CLI::NonNegativeNumber);
    rotate->callback([o, &code] {
        code = with_new_key(
            *o,
            [o](const std::string& id, const KeyHash& hash) {
                return Operation(RotateKey{o->id, id, hash, of_seconds(o->overlap_s)});
            },
            "rotated " + o->id);
    });

    auto* revoke = command("revoke", "End a key", true);
    revoke->add_option("ID", o->id)->required();
    revoke->add_option("--cause", o->cause, "asked, leaked or closed")
        ->check(CLI::IsMember({"asked", "leaked", "closed"}));
    revoke->add_option("--after-s", o->after_s, "Seconds until it ends; 0: now")
        ->check(CLI::NonNegativeNumber);
    revoke->callback([o, &code] {
        code = change(*o,
                      RevokeKey{o->id, wall_clock_now() + of_seconds(o->after_s),
                                *parse_revocation_cause(o->cause)},
                      "key " + o->id + " revoked");
    });

    auto* listing =
        command("list", "Accounts and their keys, by id; no text of a key is kept", false);
    listing->add_option("--account", o->account, "This one alone");
    listing->callback([o, &code] { code = list(*o); });

    auto* showing =
        command("show", "What a key is worth now; its text comes from standard input", false);
    showing->callback([o, &code] { code = show(*o); });
}

}  // namespace silverreach::cli
