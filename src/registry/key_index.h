// Looks up the accounts behind keys in a registry folder, and follows the folder as it changes.
//
// The folder is read on a background thread; everything else runs on the loop's thread. A registry
// that cannot be read, or that is older than the one in use, is reported and not used.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "config/config.h"
#include "event/background_task.h"
#include "event/file_watch.h"
#include "registry/store.h"

namespace silverreach::registry {

class ReloadingKeyIndex : public config::KeyIndex {
  public:
    struct Callbacks {
        std::function<void(std::uint64_t version)> on_loaded;
        // The folder's registry is not used; the one before stays in use.
        std::function<void(const std::string& reason)> on_load_failed;
    };
    // Loads the registry in `folder`; throws StoreError where that fails. `loop` and `config` must
    // outlive this.
    ReloadingKeyIndex(event::Loop& loop, const config::Config& config, std::string folder,
                      Callbacks callbacks);
    Found find_account(std::string_view key) override;

  private:
    struct LoadResult {
        std::unique_ptr<accounts::Registry> registry;  // null where loading failed
        std::string error;
    };
    std::unique_ptr<accounts::Registry> load() const;
    LoadResult try_load() const;
    void reload();
    void on_reloaded(LoadResult& result);
    void use(std::unique_ptr<accounts::Registry> registry);
    // The wall clock as it was at construction, advanced by the monotonic clock, so that a step of
    // the wall clock changes no duration.
    accounts::UnixTime now() const;

    const accounts::UnixTime wall_clock_offset_;  // of the monotonic clock
    const config::Config& config_;
    std::string folder_;
    Callbacks callbacks_;
    std::unique_ptr<accounts::Registry> registry_;
    bool reload_pending_ = false;
    event::BackgroundTask background_;
    event::FileWatch marker_watch_;
};

}  // namespace silverreach::registry
