#include "registry/store_files.h"

#include <fcntl.h>
#include <sodium.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstring>

#include "registry/store_error.h"

namespace silverreach::registry {
namespace {
constexpr mode_t owner_only_file = 0600;
constexpr mode_t owner_only_folder = 0700;
constexpr std::size_t read_chunk_bytes = 65536;
}  // namespace

bool Disk::write(int fd, std::uint64_t offset, std::string_view bytes) {
    while (!bytes.empty()) {
        const ssize_t written =
            ::pwrite(fd, bytes.data(), bytes.size(), static_cast<off_t>(offset));
        if (written < 0 && errno == EINTR) continue;
        if (written <= 0) return false;
        offset += static_cast<std::uint64_t>(written);
        bytes.remove_prefix(static_cast<std::size_t>(written));
    }
    return true;
}
bool Disk::sync(int fd) {
    return ::fsync(fd) == 0;
}
bool Disk::truncate(int fd, std::uint64_t size) {
    return ::ftruncate(fd, static_cast<off_t>(size)) == 0;
}

void throw_system_error(const std::string& context) {
    const auto code = errno == ENOENT ? StoreErrorCode::not_found : StoreErrorCode::io;
    throw StoreError(code, context + ": " + std::strerror(errno));
}

void initialize_cryptography() {
    if (sodium_init() < 0)
        throw StoreError(StoreErrorCode::no_randomness,
                         "the system has no source of random numbers");
}

accounts::Bytes32 random_bytes() {
    initialize_cryptography();
    accounts::Bytes32 bytes;
    randombytes_buf(bytes.data(), bytes.size());
    return bytes;
}

void make_folder(const std::string& folder) {
    if (::mkdir(folder.c_str(), owner_only_folder) != 0 && errno != EEXIST)
        throw_system_error(folder);
}

event::Fd open_file(const std::string& path, int flags) {
    return event::Fd(::open(path.c_str(), flags | O_CLOEXEC, owner_only_file));
}

event::Fd lock_folder(const std::string& folder) {
    const std::string path = folder + "/lock";
    event::Fd lock = open_file(path, O_RDWR | O_CREAT);
    if (!lock && errno == ENOENT)
        throw StoreError(
            StoreErrorCode::not_found,
            folder +
                ": no registry in this folder; 'silverreach keys plan NAME --make' creates one");
    if (!lock) throw_system_error(path);
    if (::flock(lock.get(), LOCK_EX | LOCK_NB) != 0)
        throw StoreError(StoreErrorCode::locked,
                         folder + ": another writer has locked the registry; nothing was changed");
    return lock;
}

std::string read_all(const event::Fd& file, const std::string& path) {
    std::string content;
    std::array<char, read_chunk_bytes> buffer;
    while (true) {
        const ssize_t count =
            ::pread(file.get(), buffer.data(), buffer.size(), static_cast<off_t>(content.size()));
        if (count < 0 && errno == EINTR) continue;
        if (count < 0) throw_system_error(path);
        if (count == 0) return content;
        content.append(buffer.data(), static_cast<std::size_t>(count));
    }
}

void write_durably(Disk& disk, const event::Fd& file, std::string_view bytes,
                   const std::string& path) {
    if (!disk.write(file.get(), 0, bytes) || !disk.sync(file.get())) throw_system_error(path);
}

void sync_folder(const std::string& folder) {
    const event::Fd file = open_file(folder, O_RDONLY | O_DIRECTORY);
    if (!file || ::fsync(file.get()) != 0) throw_system_error(folder);
}

}  // namespace silverreach::registry
