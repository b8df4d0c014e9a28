#include "cli/files.h"

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <cerrno>

namespace silverreach::cli {
namespace {
int open_to_read(const std::string& path) {
    int fd = -1;
    do
        fd = ::open(path.c_str(), O_RDONLY | O_CLOEXEC);
    while (fd < 0 && errno == EINTR);
    return fd;
}
std::optional<std::string> read_all(int fd) {
    std::string text;
    std::array<char, 65536> buffer;
    while (true) {
        const ssize_t bytes_read = ::read(fd, buffer.data(), buffer.size());
        if (bytes_read == 0) return text;
        if (bytes_read > 0)
            text.append(buffer.data(), static_cast<std::size_t>(bytes_read));
        else if (errno != EINTR)
            return std::nullopt;
    }
}
}  // namespace

std::optional<std::string> read_file(const std::string& path) {
    const int fd = open_to_read(path);
    if (fd < 0) return std::nullopt;
    auto text = read_all(fd);
    ::close(fd);
    return text;
}

std::string folder_of(const std::string& path) {
    const std::size_t slash = path.rfind('/');
    return slash == std::string::npos ? "." : slash == 0 ? "/" : path.substr(0, slash);
}

}  // namespace silverreach::cli
