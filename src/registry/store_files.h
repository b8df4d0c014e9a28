// The files of a registry folder, and the system calls on them.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "accounts/key.h"
#include "event/fd.h"
#include "event/loop.h"

namespace silverreach::registry {

// The system calls that change files. Tests override them to make a call fail or to stop the writer
// at it.
class Disk {
  public:
    virtual ~Disk() = default;
    // Each function returns false and sets errno on failure. `write` writes all bytes at `offset`.
    virtual bool write(int fd, std::uint64_t offset, std::string_view bytes);
    virtual bool sync(int fd);
    virtual bool truncate(int fd, std::uint64_t size);
};

// Both throw StoreError (no_randomness) if the system has no source of random numbers.
// initialize_cryptography() must be called before keys are hashed; further calls do nothing.
void initialize_cryptography();
accounts::Bytes32 random_bytes();

// Opens `path` with `flags` of open(2) and close-on-exec; a file that it creates is accessible to
// its owner only. On failure, the result holds no descriptor and errno is set.
event::Fd open_file(const std::string& path, int flags);

// ---- functions that throw StoreError on failure ----

// Has no effect if the folder exists.
void make_folder(const std::string& folder);
// Acquires the folder's writer lock, which is held until the result is closed.
event::Fd lock_folder(const std::string& folder);
std::string read_all(const event::Fd& file, const std::string& path);
// Writes `bytes` at the start of the file and syncs it.
void write_durably(Disk& disk, const event::Fd& file, std::string_view bytes,
                   const std::string& path);
// Syncs the folder, which makes the names of new files durable.
void sync_folder(const std::string& folder);
// Throws the error in errno: not_found for ENOENT, io for any other. The message is `context`
// followed by the text of errno.
[[noreturn]] void throw_system_error(const std::string& context);

}  // namespace silverreach::registry
