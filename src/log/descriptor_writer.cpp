#include "log/descriptor_writer.h"

#include <fcntl.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <climits>
#include <utility>

namespace silverreach::log {
namespace {
constexpr int max_interrupted_writes = 8;  // attempts at a write() that signals interrupt

// Opens the same pipe or terminal with an open file description of its own, because O_NONBLOCK on
// the inherited one would apply to every process that shares it.
int reopen_nonblocking(int descriptor) {
    const std::string name = "/proc/self/fd/" + std::to_string(descriptor);
    return ::open(name.c_str(), O_WRONLY | O_NONBLOCK | O_CLOEXEC | O_NOCTTY);
}
}  // namespace

DescriptorWriter::DescriptorWriter(int descriptor, bool owned,
                                   std::function<std::string(std::uint64_t)> format_dropped_line)
    : descriptor_(descriptor), owned_(owned), format_dropped_line_(std::move(format_dropped_line)) {
    struct stat status {};
    if (::fstat(descriptor, &status) != 0) return;
    if (S_ISREG(status.st_mode))
        kind_ = Kind::file;
    else if (S_ISSOCK(status.st_mode))
        kind_ = Kind::socket;
    else if (S_ISFIFO(status.st_mode) || S_ISCHR(status.st_mode))
        if (const int reopened = reopen_nonblocking(descriptor); reopened >= 0) {
            if (owned_) ::close(descriptor_);
            descriptor_ = reopened;
            owned_ = true;
            kind_ = Kind::pipe;
        }
}
DescriptorWriter::~DescriptorWriter() {
    if (owned_) ::close(descriptor_);
}

void DescriptorWriter::write(std::string_view line) {
    if (!unwritten_.empty()) {
        const std::string unwritten = std::exchange(unwritten_, {});
        if (!try_write(unwritten)) unwritten_ = unwritten;
        if (!unwritten_.empty()) return void(++dropped_);
    }
    if (dropped_ > 0) {
        if (!try_write(format_dropped_line_(dropped_))) return void(++dropped_);
        dropped_ = 0;
        if (!unwritten_.empty()) return void(++dropped_);
    }
    if (!try_write(line)) ++dropped_;
}

bool DescriptorWriter::try_write(std::string_view line) {
    const long written = write_some(line);
    if (written <= 0) return false;
    unwritten_ = line.substr(static_cast<std::size_t>(written));
    return true;
}

long DescriptorWriter::write_some(std::string_view bytes) const {
    if (kind_ == Kind::socket)
        return ::send(descriptor_, bytes.data(), bytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    if (kind_ == Kind::unknown) {
        // The descriptor cannot be made non-blocking. If poll() reports room, a write of up to
        // PIPE_BUF bytes does not block.
        pollfd writable{descriptor_, POLLOUT, 0};
        if (::poll(&writable, 1, 0) <= 0 || !(writable.revents & POLLOUT)) return -1;
        bytes = bytes.substr(0, std::min<std::size_t>(bytes.size(), PIPE_BUF));
    }
    for (int i = 0; i < max_interrupted_writes; ++i) {
        const long written = ::write(descriptor_, bytes.data(), bytes.size());
        if (written >= 0 || errno != EINTR) return written;
    }
    return -1;
}

}  // namespace silverreach::log
