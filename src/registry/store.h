// The registry on disk: a folder with `log`, `mark`, `secret` and a lock. One writer at a time;
// readers take what is acknowledged.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "accounts/journal.h"
#include "event/fd.h"
#include "event/loop.h"

namespace silverreach::registry {

// The calls of the system that the store makes, so that tests can fail and stop each of them.
class Disk {
  public:
    virtual ~Disk() = default;
    virtual bool write(int fd, std::uint64_t at,
                       std::string_view bytes);  // all of it, or false with errno
    virtual bool sync(int fd);
    virtual bool truncate(int fd, std::uint64_t size);
};

class Store {
  public:
    enum class Mode {
        read,
        write
    };
    // Throws std::runtime_error with a plain message: the folder is not to be had, another writer
    // has it, or the log is damaged. `make`: a new folder is made where there is none.
    Store(const std::string& folder, Mode mode, bool make, Disk& disk);

    accounts::Registry& registry() { return *registry_; }
    // Applies a change at `at` and makes it durable. Empty: it is acknowledged. Else why not; it
    // was not made, or, where the disk failed, the store takes no more until it is opened again.
    std::string change(const accounts::Deed& deed, accounts::Wall at);

  private:
    std::string folder_;
    Disk& disk_;
    event::Fd lock_, log_, mark_;
    std::unique_ptr<accounts::Registry> registry_;
    std::uint64_t size_ = 0;
    accounts::Mark last_;
    bool broken_ = false;
};

accounts::Bytes32 random_bytes();

}  // namespace silverreach::registry
