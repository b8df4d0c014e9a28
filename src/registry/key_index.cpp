#include "registry/key_index.h"

#include <chrono>
#include <utility>

#include "registry/wall_clock.h"

namespace silverreach::registry {
namespace {
using namespace std::chrono_literals;
constexpr event::Micros marker_check_interval = 100ms;

accounts::UnixTime monotonic_now() {
    return std::chrono::duration_cast<accounts::UnixTime>(event::Loop::clock());
}

// Returns why a key is rejected. The text is sent to the client and contains no part of the key.
std::string rejection_reason(accounts::KeyStatus status) {
    switch (status) {
        case accounts::KeyStatus::valid:
            break;
        case accounts::KeyStatus::malformed:
            return "this is no key";
        case accounts::KeyStatus::checksum_mismatch:
            return "the key is mistyped: its check part does not fit";
        case accounts::KeyStatus::unknown:
            return "no account has this key";
        case accounts::KeyStatus::not_yet_valid:
            return "the key is not valid yet";
        case accounts::KeyStatus::expired:
            return "the key has ended";
    }
    return "";
}
}  // namespace

ReloadingKeyIndex::ReloadingKeyIndex(event::Loop& loop, const config::Config& config,
                                     std::string folder, Callbacks callbacks)
    : wall_clock_offset_(wall_clock_now() - monotonic_now()),
      config_(config),
      folder_(std::move(folder)),
      callbacks_(std::move(callbacks)),
      background_(loop),
      marker_watch_(loop, folder_ + "/mark", marker_check_interval, [this] { reload(); }) {
    use(load());
}

accounts::UnixTime ReloadingKeyIndex::now() const {
    return wall_clock_offset_ + monotonic_now();
}

// Reads only members that never change, since reloads call it on the background thread.
std::unique_ptr<accounts::Registry> ReloadingKeyIndex::load() const {
    Disk disk;
    Store store(folder_, Store::Mode::read, false, disk);
    auto registry = std::make_unique<accounts::Registry>(std::move(store.registry()));
    registry->set_clock_skew(accounts::UnixTime(config_.clock_skew_ms()));
    return registry;
}

ReloadingKeyIndex::LoadResult ReloadingKeyIndex::try_load() const {
    try {
        return {load(), {}};
    } catch (const std::exception& error) {
        return {nullptr, error.what()};
    }
}

void ReloadingKeyIndex::reload() {
    if (background_.is_busy()) {
        reload_pending_ = true;
        return;
    }
    auto result = std::make_shared<LoadResult>();
    background_.run([this, result] { *result = try_load(); },
                    [this, result] {
                        on_reloaded(*result);
                        if (std::exchange(reload_pending_, false)) reload();
                    });
}

// Rejects an older registry, since it may lack a revocation that is already in force.
void ReloadingKeyIndex::on_reloaded(LoadResult& result) {
    if (!result.registry) {
        marker_watch_.report(event::FileWatch::ReadResult::failed);
        return report_failure(result.error);
    }
    marker_watch_.report(event::FileWatch::ReadResult::complete);
    const std::uint64_t loaded = result.registry->version();
    const std::uint64_t current = registry_->version();
    if (loaded < current)
        return report_failure("version " + std::to_string(loaded) +
                              " is older than the version in use, " + std::to_string(current));
    last_failure_.clear();
    if (loaded == current) return;
    result.registry->advance_clock(registry_->latest_time());
    use(std::move(result.registry));
}

// A load is tried again until it succeeds; only a new reason is reported.
void ReloadingKeyIndex::report_failure(const std::string& reason) {
    if (std::exchange(last_failure_, reason) != reason) callbacks_.on_load_failed(reason);
}

void ReloadingKeyIndex::use(std::unique_ptr<accounts::Registry> registry) {
    registry_ = std::move(registry);
    callbacks_.on_loaded(registry_->version());
}

config::KeyIndex::Found ReloadingKeyIndex::find_account(std::string_view key) {
    const accounts::KeyLookup found = registry_->look_up(key, now());
    if (found.status != accounts::KeyStatus::valid)
        return {std::nullopt, rejection_reason(found.status)};
    const int plan = config::plan_index(config_, found.plan);
    // Without its plan's settings, the account would have no quota.
    if (plan < 0) return {std::nullopt, "the account's plan is not known here"};
    return {config::AccountRef{found.account, plan, found.key_id}, {}};
}

}  // namespace silverreach::registry
