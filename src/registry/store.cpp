#include "registry/store.h"

#include <fcntl.h>
#include <sodium.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <stdexcept>

namespace silverreach::registry {
namespace {
constexpr const char* unsure = "; whether the change was made shows when it is opened again";

[[noreturn]] void fail(const std::string& what) {
    throw std::runtime_error(what + ": " + std::strerror(errno));
}

std::string read_all(int fd, const std::string& name) {
    std::string out;
    char buffer[65536];
    while (true) {
        const ssize_t n = ::pread(fd, buffer, sizeof buffer, static_cast<off_t>(out.size()));
        if (n < 0 && errno == EINTR) continue;
        if (n < 0) fail(name);
        if (n == 0) return out;
        out.append(buffer, static_cast<std::size_t>(n));
    }
}
// A new file's name is durable only when its folder is.
void sync_folder(const std::string& folder) {
    event::Fd fd(::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
    if (!fd || ::fsync(fd.get()) != 0) fail(folder);
}
}  // namespace

bool Disk::write(int fd, std::uint64_t at, std::string_view bytes) {
    while (!bytes.empty()) {
        const ssize_t n = ::pwrite(fd, bytes.data(), bytes.size(), static_cast<off_t>(at));
        if (n < 0 && errno == EINTR) continue;
        if (n <= 0) return false;
        at += static_cast<std::uint64_t>(n);
        bytes.remove_prefix(static_cast<std::size_t>(n));
    }
    return true;
}
bool Disk::sync(int fd) {
    return ::fsync(fd) == 0;
}
bool Disk::truncate(int fd, std::uint64_t size) {
    return ::ftruncate(fd, static_cast<off_t>(size)) == 0;
}

accounts::Bytes32 random_bytes() {
    if (sodium_init() < 0) throw std::runtime_error("no source of random numbers");
    accounts::Bytes32 bytes;
    randombytes_buf(bytes.data(), bytes.size());
    return bytes;
}

Store::Store(const std::string& folder, Mode mode, bool make, Disk& disk)
    : folder_(folder), disk_(disk) {
    if (sodium_init() < 0) throw std::runtime_error("no source of random numbers");
    const bool writes = mode == Mode::write;
    if (make && ::mkdir(folder.c_str(), 0700) != 0 && errno != EEXIST) fail(folder);
    const int flags = (writes ? O_RDWR | (make ? O_CREAT : 0) : O_RDONLY) | O_CLOEXEC;
    if (writes) {
        lock_ = event::Fd(::open((folder + "/lock").c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600));
        if (!lock_ && errno == ENOENT)
            throw std::runtime_error(
                folder + ": no registry here; 'silverreach keys plan NAME --make' makes one");
        if (!lock_) fail(folder + "/lock");
        if (::flock(lock_.get(), LOCK_EX | LOCK_NB) != 0)
            throw std::runtime_error(folder +
                                     ": another writer has the registry; nothing was changed");
    }
    log_ = event::Fd(::open((folder + "/log").c_str(), flags, 0600));
    mark_ = event::Fd(::open((folder + "/mark").c_str(), flags, 0600));
    if (!log_ || !mark_) fail(folder + ": no registry here");

    event::Fd secret(::open((folder + "/secret").c_str(), flags, 0600));
    if (!secret) fail(folder + "/secret");
    std::string pepper = read_all(secret.get(), folder + "/secret");
    // The mark first: a writer beside a reader makes the log longer before it moves the mark.
    std::string mark = read_all(mark_.get(), folder + "/mark");
    std::string log = read_all(log_.get(), folder + "/log");
    // The log's first bytes are the last step of making a registry; until they are whole nothing
    // was acknowledged, and the making is begun anew.
    const auto marked = accounts::read_mark(mark);
    if (writes && log.size() < accounts::log_magic.size() &&
        (!marked || marked->acknowledged == 0)) {
        const auto fresh = random_bytes();
        pepper.assign(reinterpret_cast<const char*>(fresh.data()), fresh.size());
        if (!disk_.write(secret.get(), 0, pepper) || !disk_.sync(secret.get()))
            fail(folder + "/secret");
        if (!disk_.write(mark_.get(), 0, accounts::slot_of({})) || !disk_.sync(mark_.get()))
            fail(folder + "/mark");
        if (!disk_.write(log_.get(), 0, accounts::log_magic) || !disk_.sync(log_.get()))
            fail(folder + "/log");
        sync_folder(folder);
        log = accounts::log_magic, mark = accounts::slot_of({});
    }
    accounts::Pepper key{};
    if (pepper.size() != key.size())
        throw std::runtime_error(
            folder + "/secret: expected 32 bytes; the log's keys are of no use without it");
    std::memcpy(key.data(), pepper.data(), key.size());
    registry_ = std::make_unique<accounts::Registry>(key);

    const auto recovered = accounts::recover(log, mark, !writes);
    if (!recovered.problem.empty()) throw std::runtime_error(folder + "/log: " + recovered.problem);
    for (const auto& change : recovered.changes)
        if (const std::string why = registry_->apply(change); !why.empty())
            throw std::runtime_error(folder + "/log: change " + std::to_string(change.version) +
                                     " does not fit: " + why);
    size_ = recovered.keep, last_ = recovered.mark;
    if (!writes) return;
    if (size_ < log.size() && (!disk_.truncate(log_.get(), size_) || !disk_.sync(log_.get())))
        fail(folder + "/log");
}

std::string Store::change(const accounts::Deed& deed, accounts::Wall at) {
    if (broken_) return "the disk failed before; open the registry again";
    const accounts::Change change{registry_->version() + 1, at, deed};
    if (std::string why = registry_->check(change); !why.empty()) return why;
    const std::string record = accounts::record_of(change);
    const accounts::Mark mark{last_.sequence + 1, size_ + record.size()};
    const auto refuse = [&](const char* what) {
        const std::string why = std::strerror(errno);
        // What is beyond the mark was not acknowledged. Where it cannot be taken back, a record
        // that is whole stands at the next opening.
        broken_ = !disk_.truncate(log_.get(), size_) || !disk_.sync(log_.get());
        return folder_ + what + why + (broken_ ? unsure : "; the change was not made");
    };
    if (!disk_.write(log_.get(), size_, record) || !disk_.sync(log_.get())) return refuse("/log: ");
    const std::uint64_t slot = mark.sequence % 2 * accounts::slot_size;
    if (!disk_.write(mark_.get(), slot, accounts::slot_of(mark)) || !disk_.sync(mark_.get())) {
        // The mark may be on the disk or not: only a fresh look tells.
        broken_ = true;
        return folder_ + "/mark: " + std::strerror(errno) + unsure;
    }
    registry_->apply(change);
    size_ = mark.acknowledged, last_ = mark;
    return {};
}

}  // namespace silverreach::registry
