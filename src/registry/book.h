// The gateway's side of the registry: follows the folder as it changes, and answers for keys.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "config/config.h"
#include "event/background_task.h"
#include "event/file_watch.h"
#include "registry/store.h"

namespace silverreach::registry {

class Book : public config::AccountBook {
  public:
    struct Hooks {
        std::function<void(std::uint64_t version)> taken;
        std::function<void(const std::string& why)>
            kept;  // the folder could not be taken; what was known stays
    };
    // Throws std::runtime_error where there is no registry to begin with.
    Book(event::Loop& loop, const config::Config& config, std::string folder, Hooks hooks);
    Found by_key(std::string_view key) override;

  private:
    struct Read {
        std::unique_ptr<accounts::Registry> registry;
        std::string why;
    };
    Read read() const;
    // The wall clock as it stood when this began, moved on by the monotonic one: spans stay spans.
    accounts::Wall now() const;
    void look();
    void take(Read& read);

    const accounts::Wall wall_at_zero_;  // of the monotonic clock
    const config::Config& config_;
    std::string folder_;
    Hooks hooks_;
    std::unique_ptr<accounts::Registry> registry_;
    bool again_ = false;
    event::BackgroundTask background_;
    event::FileWatch watch_;
};

}  // namespace silverreach::registry
