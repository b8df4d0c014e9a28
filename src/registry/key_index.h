// Looks up the accounts of keys in a registry folder, and reloads the registry when it changes.
//
// Reloads read the folder on a background thread; everything else runs on the loop's thread. A
// registry that cannot be read is reported and read again until it can. One that is older than the
// one in use is reported and not used.
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
        // The registry in the folder cannot be used; the previous one stays in use.
        std::function<void(const std::string& reason)> on_load_failed;
    };
    // Loads the registry in `folder`; throws StoreError on failure. `loop` and `config` must
    // outlive this.
    ReloadingKeyIndex(event::Loop& loop, const config::Config& config, std::string folder,
                      Callbacks callbacks);
    Found find_account(std::string_view key) override;

  private:
    struct LoadResult {
        std::unique_ptr<accounts::Registry> registry;  // null if loading failed
        std::string error;
    };
    std::unique_ptr<accounts::Registry> load() const;
    LoadResult try_load() const;
    void reload();
    void on_reloaded(LoadResult& result);
    void report_failure(const std::string& reason);
    void use(std::unique_ptr<accounts::Registry> registry);
    // Returns the wall-clock time of construction, advanced by the monotonic clock, so that a step
    // of the wall clock does not change durations.
    accounts::UnixTime now() const;

    const accounts::UnixTime wall_clock_offset_;  // added to the monotonic clock
    const config::Config& config_;
    std::string folder_;
    Callbacks callbacks_;
    std::unique_ptr<accounts::Registry> registry_;
    std::string last_failure_;  // empty: the last load succeeded
    bool reload_pending_ = false;
    event::BackgroundTask background_;
    event::FileWatch marker_watch_;
};

}  // namespace silverreach::registry
