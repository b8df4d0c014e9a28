// The files of a registry folder, and the system calls on them.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "accounts/key.h"
#include "event/fd.h"
#include "event/loop.h"

namespace silverreach::registry {

// The system calls that change files, so that tests can make each of them fail or stop.
class Disk {
  public:
    virtual ~Disk() = default;
    // Each returns false, with errno set, on failure. `write` writes all bytes at offset `at`.
    virtual bool write(int fd, std::uint64_t at, std::string_view bytes);
    virtual bool sync(int fd);
    virtual bool truncate(int fd, std::uint64_t size);
};

// Both throw StoreError (no_randomness) where the system has no source of random numbers.
void initialize_cryptography();  // needed once before keys are hashed; further calls do nothing
accounts::Bytes32 random_bytes();

// Opens `path` with `flags` of open(2), to be closed on exec, for its owner alone. Without a
// descriptor, and with errno set, on failure.
event::Fd open_file(const std::string& path, int flags);

// ---- these throw StoreError ----
void make_folder(const std::string& folder);
// Takes the writer's lock of the folder until the result is closed.
event::Fd lock_folder(const std::string& folder);
std::string read_all(const event::Fd& file, const std::string& path);
// Writes and syncs `bytes` at the file's start.
void write_durably(Disk& disk, const event::Fd& file, std::string_view bytes,
                   const std::string& path);
// Makes the names of new files durable.
void sync_folder(const std::string& folder);
// The code is not_found for ENOENT, else io; the message ends with the text of errno.
[[noreturn]] void throw_system_error(const std::string& what);

}  // namespace silverreach::registry
