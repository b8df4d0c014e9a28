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
    std::string registry_folder, account, plan, successor, id, merge_target, cause = "asked";
    double start_delay_s = 0, validity_s = 0, overlap_s = 86400, revocation_delay_s = 0;
    bool dry_run = false, create_registry = false;
};

using registry::wall_clock_now;

UnixTime unix_time_from_seconds(double seconds) {
    return UnixTime(static_cast<std::int64_t>(seconds * 1000));
}
std::string time_text(UnixTime time) {
    if (time == never) return "never";
    const std::time_t seconds = time.count() / 1000;
    std::tm utc{};
    gmtime_r(&seconds, &utc);
    std::array<char, 32> text{};
    std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%SZ", &utc);
    return text.data();
}

int run_reporting_errors(const std::function<int()>& command) {
    try {
        return command();
    } catch (const std::exception& error) {
        std::cerr << error.what() << "\n";
        return Exit::system_error;
    }
}

// Commits the operation; with --dry-run only checks it. Returns the error; empty on success.
std::string commit_or_check(const Options& options, registry::Store& store,
                            const Operation& operation) {
    const UnixTime at = wall_clock_now();
    if (!options.dry_run) {
        const auto error = store.commit(operation, at);
        return error ? error->message : "";
    }
    const auto error = store.registry().check({store.registry().version() + 1, at, operation});
    return error ? error->message : "";
}

int apply_change(const Options& options, const Operation& operation, const std::string& summary) {
    return run_reporting_errors([&]() -> int {
        registry::Disk disk;
        registry::Store store(
            options.registry_folder,
            options.dry_run ? registry::Store::Mode::read : registry::Store::Mode::write,
            options.create_registry && !options.dry_run, disk);
        const std::string error = commit_or_check(options, store, operation);
        if (!error.empty()) {
            std::cerr << error << "\n";
            return Exit::check_failed;
        }
        std::cout << (options.dry_run ? "dry run: " : "") << summary
                  << fmt::format(" (version {})\n",
                                 store.registry().version() + (options.dry_run ? 1 : 0));
        return Exit::success;
    });
}

// Makes a key and commits the operation that adds it. The key's text is printed once, after the
// operation is durable, and is not stored.
int apply_with_new_key(
    const Options& options,
    const std::function<Operation(const std::string& id, const KeyHash&)>& operation_of,
    const std::string& summary) {
    return run_reporting_errors([&]() -> int {
        registry::Disk disk;
        registry::Store store(
            options.registry_folder,
            options.dry_run ? registry::Store::Mode::read : registry::Store::Mode::write, false,
            disk);
        const std::string text = make_key(registry::random_bytes());
        const std::string id(parse_key(text).id);
        const Operation operation = operation_of(id, hash_key(store.registry().pepper(), text));
        const std::string error = commit_or_check(options, store, operation);
        if (!error.empty()) {
            std::cerr << error << "\n";
            return Exit::check_failed;
        }
        if (options.dry_run)
            std::cout << "dry run: " << summary << "\n";
        else
            std::cout << summary << ": key " << id << ", shown only once:\n" << text << "\n";
        return Exit::success;
    });
}

int list_accounts(const Options& options) {
    return run_reporting_errors([&]() -> int {
        registry::Disk disk;
        registry::Store store(options.registry_folder, registry::Store::Mode::read, false, disk);
        const Registry& loaded_registry = store.registry();
        std::cout << fmt::format("version {}, {} plans, {} accounts, {} keys\n",
                                 loaded_registry.version(), loaded_registry.plans().size(),
                                 loaded_registry.accounts().size(), loaded_registry.keys().size());
        const std::map<std::string, Account> accounts_by_name(loaded_registry.accounts().begin(),
                                                              loaded_registry.accounts().end());
        for (const auto& [name, account] : accounts_by_name) {
            if (!options.account.empty() && name != options.account) continue;
            std::cout << fmt::format("{}  plan {}{}\n", name, account.plan,
                                     account.merged_into.empty()
                                         ? ""
                                         : "  merged into " + loaded_registry.resolve_merges(name));
            std::map<std::string, const Key*> keys_by_id;
            for (const auto& [id, key] : loaded_registry.keys())
                if (key.account == name) keys_by_id[id] = &key;
            for (const auto& [id, key] : keys_by_id)
                std::cout << fmt::format(
                    "  {}  from {}  until {}{}{}\n", id, time_text(key->valid_from),
                    time_text(key->valid_until),
                    key->cause == RevocationCause::none
                        ? ""
                        : fmt::format("  revoked: {}", to_string(key->cause)),
                    key->successor.empty() ? "" : "  successor " + key->successor);
        }
        return Exit::success;
    });
}

int show_key(const Options& options) {
    return run_reporting_errors([&]() -> int {
        registry::Disk disk;
        registry::Store store(options.registry_folder, registry::Store::Mode::read, false, disk);
        std::string text;
        std::getline(std::cin, text);
        const KeyLookup found = store.registry().look_up(text, wall_clock_now());
        std::cout << to_string(found.status);
        if (!found.account.empty())
            std::cout << fmt::format("  key {}  account {}  plan {}", found.key_id, found.account,
                                     found.plan);
        std::cout << "\n";
        return found.status == KeyStatus::valid ? Exit::success : Exit::check_failed;
    });
}
}  // namespace

void add_key_commands(CLI::App& app, int& exit_code) {
    auto options = std::make_shared<Options>();
    auto* keys_command =
        app.add_subcommand("keys", "Manage accounts, plans and keys in a registry folder");
    keys_command->require_subcommand(1);
    const auto add_command = [&](const char* name, const char* description, bool can_change) {
        auto* subcommand = keys_command->add_subcommand(name, description);
        subcommand->add_option("--registry", options->registry_folder, "Registry folder")
            ->required();
        if (can_change)
            subcommand->add_flag("--dry-run", options->dry_run,
                                 "Check the change without making it");
        return subcommand;
    };
    auto* plan_command =
        add_command("plan", "Add a plan; with --make, create the registry first", true);
    plan_command->add_option("NAME", options->plan)->required();
    plan_command->add_flag("--make", options->create_registry,
                           "Create the registry folder if it does not exist");
    plan_command->callback([options, &exit_code] {
        exit_code =
            apply_change(*options, AddPlan{options->plan}, "plan " + options->plan + " added");
    });

    auto* drop_plan_command =
        add_command("drop-plan", "Remove a plan; its accounts move to another", true);
    drop_plan_command->add_option("NAME", options->plan)->required();
    drop_plan_command->add_option("--to", options->successor, "The plan that its accounts move to");
    drop_plan_command->callback([options, &exit_code] {
        exit_code = apply_change(*options, RemovePlan{options->plan, options->successor},
                                 "plan " + options->plan + " removed");
    });

    auto* account_command =
        add_command("account", "Add an account, or move it to another plan", true);
    account_command->add_option("NAME", options->account)->required();
    account_command->add_option("--plan", options->plan)->required();
    account_command->callback([options, &exit_code] {
        exit_code = apply_change(*options, PutAccount{options->account, options->plan},
                                 "account " + options->account + " on plan " + options->plan);
    });

    auto* merge_command = add_command(
        "merge", "Attribute the keys and requests of one account to another from now on", true);
    merge_command->add_option("FROM", options->account)->required();
    merge_command->add_option("INTO", options->merge_target)->required();
    merge_command->callback([options, &exit_code] {
        exit_code = apply_change(*options, MergeAccounts{options->account, options->merge_target},
                                 options->account + " merged into " + options->merge_target);
    });

    auto* issue_command =
        add_command("issue", "Issue a key for an account; its text is shown once", true);
    issue_command->add_option("ACCOUNT", options->account)->required();
    issue_command
        ->add_option("--starts-in-s", options->start_delay_s, "Seconds until the key becomes valid")
        ->check(CLI::NonNegativeNumber);
    issue_command
        ->add_option("--valid-s", options->validity_s,
                     "Seconds that the key is valid; 0: no expiry")
        ->check(CLI::NonNegativeNumber);
    issue_command->callback([options, &exit_code] {
        exit_code = apply_with_new_key(
            *options,
            [options](const std::string& id, const KeyHash& hash) {
                const UnixTime start =
                    wall_clock_now() + unix_time_from_seconds(options->start_delay_s);
                return Operation(IssueKey{id, options->account, hash, start,
                                          options->validity_s > 0
                                              ? start + unix_time_from_seconds(options->validity_s)
                                              : never});
            },
            "issued for " + options->account);
    });

    auto* rotate_command = add_command(
        "rotate", "Issue a successor of a key; both are valid until the overlap ends", true);
    rotate_command->add_option("ID", options->id)->required();
    rotate_command
        ->add_option("--overlap-s", options->overlap_s, "Overlap in seconds; one day by default")
        ->check(CLI::NonNegativeNumber);
    rotate_command->callback([options, &exit_code] {
        exit_code = apply_with_new_key(
            *options,
            [options](const std::string& id, const KeyHash& hash) {
                return Operation(
                    RotateKey{options->id, id, hash, unix_time_from_seconds(options->overlap_s)});
            },
            "rotated " + options->id);
    });

    auto* revoke_command = add_command("revoke", "Revoke a key", true);
    revoke_command->add_option("ID", options->id)->required();
    revoke_command->add_option("--cause", options->cause, "Cause: asked, leaked or closed")
        ->check(CLI::IsMember({"asked", "leaked", "closed"}));
    revoke_command
        ->add_option("--after-s", options->revocation_delay_s,
                     "Seconds until the key is revoked; 0: now")
        ->check(CLI::NonNegativeNumber);
    revoke_command->callback([options, &exit_code] {
        exit_code = apply_change(
            *options,
            RevokeKey{options->id,
                      wall_clock_now() + unix_time_from_seconds(options->revocation_delay_s),
                      *parse_revocation_cause(options->cause)},
            "key " + options->id + " revoked");
    });

    auto* list_command = add_command(
        "list", "List accounts and their keys, by id; the text of a key is not stored", false);
    list_command->add_option("--account", options->account, "Only this account");
    list_command->callback([options, &exit_code] { exit_code = list_accounts(*options); });

    auto* show_command = add_command(
        "show", "Show the status of a key; its text is read from standard input", false);
    show_command->callback([options, &exit_code] { exit_code = show_key(*options); });
}

}  // namespace silverreach::cli
