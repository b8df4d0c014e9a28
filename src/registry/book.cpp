#include "registry/book.h"

#include <sys/time.h>

#include <stdexcept>

namespace silverreach::registry {
namespace {
using namespace std::chrono_literals;
constexpr event::Micros look_period = 100ms;

accounts::Wall wall_now() {
    timeval t{};
    gettimeofday(&t, nullptr);
    return accounts::Wall(static_cast<std::int64_t>(t.tv_sec) * 1000 + t.tv_usec / 1000);
}
}  // namespace

Book::Book(event::Loop& loop, const config::Config& config, std::string folder, Hooks hooks)
    : wall_at_zero_(wall_now() - std::chrono::duration_cast<accounts::Wall>(event::Loop::clock())),
      config_(config),
      folder_(std::move(folder)),
      hooks_(std::move(hooks)),
      background_(loop),
      watch_(loop, folder_ + "/mark", look_period, [this] { look(); }) {
    Read first = read();
    if (!first.registry) throw std::runtime_error(first.why);
    take(first);
}

accounts::Wall Book::now() const {
    return wall_at_zero_ + std::chrono::duration_cast<accounts::Wall>(event::Loop::clock());
}

// Shares nothing with the loop's thread but what never changes.
Book::Read Book::read() const {
    try {
        Disk disk;
        Store store(folder_, Store::Mode::read, false, disk);
        auto registry = std::make_unique<accounts::Registry>(std::move(store.registry()));
        registry->set_skew(accounts::Wall(config_.clock_skew_ms()));
        return {std::move(registry), {}};
    } catch (const std::exception& error) {
        return {nullptr, error.what()};
    }
}

void Book::look() {
    if (background_.busy()) {
        again_ = true;
        return;
    }
    auto result = std::make_shared<Read>();
    background_.run([this, result] { *result = read(); },
                    [this, result] {
                        take(*result);
                        if (std::exchange(again_, false)) look();
                    });
}

// An older registry than the one in memory is not taken: it may not know of a revocation that was
// served already.
void Book::take(Read& read) {
    if (!read.registry) return hooks_.kept(read.why);
    if (registry_ && read.registry->version() < registry_->version())
        return hooks_.kept("version " + std::to_string(read.registry->version()) +
                           " is older than " + std::to_string(registry_->version()));
    if (registry_ && read.registry->version() == registry_->version()) return;
    if (registry_) read.registry->not_before(registry_->latest());
    registry_ = std::move(read.registry);
    hooks_.taken(registry_->version());
}

config::AccountBook::Found Book::by_key(std::string_view key) {
    const accounts::Served served = registry_->look_up(key, now());
    switch (served.verdict) {
        case accounts::Verdict::served:
            break;
        case accounts::Verdict::malformed:
            return {std::nullopt, "this is no key"};
        case accounts::Verdict::mistyped:
            return {std::nullopt, "the key is mistyped: its check part does not fit"};
        case accounts::Verdict::unknown:
            return {std::nullopt, "no account has this key"};
        case accounts::Verdict::early:
            return {std::nullopt, "the key is not valid yet"};
        case accounts::Verdict::cut_off:
            return {std::nullopt, "the key has ended"};
    }
    const int plan = config::plan_index(config_, served.plan);
    // A plan that this instance has no figures for would be one without quota.
    if (plan < 0) return {std::nullopt, "the account's plan is not known here"};
    return {config::AccountRef{served.account, plan, served.key_id}, {}};
}

}  // namespace silverreach::registry
