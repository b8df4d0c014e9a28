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
constexpr int interrupted_most = 8;  // write() calls when signals interrupt them

// Opens the same pipe or terminal with an open file description of its own, because O_NONBLOCK on
// the inherited one would apply to every process that shares it.
int reopened(int descriptor) {
    const std::string name = "/proc/self/fd/" + std::to_string(descriptor);
    return ::open(name.c_str(), O_WRONLY | O_NONBLOCK | O_CLOEXEC | O_NOCTTY);
}
}  // namespace

DescriptorWriter::DescriptorWriter(int descriptor, bool owned,
                                   std::function<std::string(std::uint64_t)> dropped_line)
    : descriptor_(descriptor), owned_(owned), dropped_line_(std::move(dropped_line)) {
    struct stat about {};
    if (::fstat(descriptor, &about) != 0) return;
    if (S_ISREG(about.st_mode))
        kind_ = Kind::file;
    else if (S_ISSOCK(about.st_mode))
        kind_ = Kind::socket;
    else if (S_ISFIFO(about.st_mode) || S_ISCHR(about.st_mode))
        if (const int own = reopened(descriptor); own >= 0) {
            if (owned_) ::close(descriptor_);
            descriptor_ = own;
            owned_ = true;
            kind_ = Kind::pipe;
        }
}
DescriptorWriter::~DescriptorWriter() {
    if (owned_) ::close(descriptor_);
}

void DescriptorWriter::write(std::string_view line) {
    if (!rest_.empty()) {
        const std::string rest = std::exchange(rest_, {});
        if (!put(rest)) rest_ = rest;
        if (!rest_.empty()) return void(++dropped_);
    }
    if (dropped_ > 0) {
        if (!put(dropped_line_(dropped_))) return void(++dropped_);
        dropped_ = 0;
        if (!rest_.empty()) return void(++dropped_);
    }
    if (!put(line)) ++dropped_;
}

bool DescriptorWriter::put(std::string_view line) {
    const long written = write_some(line);
    if (written <= 0) return false;
    rest_ = line.substr(static_cast<std::size_t>(written));
    return true;
}

long DescriptorWriter::write_some(std::string_view bytes) const {
    if (kind_ == Kind::socket)
        return ::send(descriptor_, bytes.data(), bytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    if (kind_ == Kind::unknown) {
        // The descriptor cannot be made non-blocking. If poll() reports room, a write of up to
        // PIPE_BUF bytes does not block.
        pollfd look{descriptor_, POLLOUT, 0};
        if (::poll(&look, 1, 0) <= 0 || !(look.revents & POLLOUT)) return -1;
        bytes = bytes.substr(0, std::min<std::size_t>(bytes.size(), PIPE_BUF));
    }
    for (int i = 0; i < interrupted_most; ++i) {
        const long written = ::write(descriptor_, bytes.data(), bytes.size());
        if (written >= 0 || errno != EINTR) return written;
    }
    return -1;
}

}  // namespace silverreach::log
