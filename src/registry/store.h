// The registry on disk: a folder with `log`, `mark` (the commit marker), `secret` (the pepper) and
// `lock`. There is at most one writer at a time; readers see committed changes only.
#pragma once

#include <memory>
#include <optional>
#include <string>

#include "accounts/change_log.h"
#include "accounts/registry.h"
#include "event/fd.h"
#include "registry/store_error.h"
#include "registry/store_files.h"

namespace silverreach::registry {

class Store {
  public:
    enum class Mode {
        read,
        write
    };
    // Opens the registry in `folder`, or creates it if `create` is set and there is none. Throws
    // StoreError on failure. `disk` must outlive this.
    Store(const std::string& folder, Mode mode, bool create, Disk& disk);

    accounts::Registry& registry() { return *registry_; }
    // Applies a change made at `at` and makes it durable. Returns nullopt if the change is
    // committed. After the error outcome_unknown, every later call returns `closed`.
    std::optional<CommitError> commit(const accounts::Operation& operation, accounts::UnixTime at);

  private:
    struct Contents {
        std::string secret;
        std::string marker;
        std::string log;
    };
    std::string path_of(const char* file) const { return folder_ + "/" + file; }
    bool is_incomplete(const Contents& contents) const;
    void initialize(const event::Fd& secret_file, Contents& contents);
    void load_pepper(const std::string& secret);
    void replay(const Contents& contents);
    CommitError roll_back();

    std::string folder_;
    Mode mode_;
    Disk& disk_;
    event::Fd lock_;
    event::Fd log_file_;
    event::Fd marker_file_;
    std::unique_ptr<accounts::Registry> registry_;
    std::uint64_t log_bytes_ = 0;
    accounts::CommitMarker last_marker_;
    bool outcome_unknown_ = false;
};

}  // namespace silverreach::registry
