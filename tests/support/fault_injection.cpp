// The preloaded library of fault injection. It wraps system calls of the C library, fails them by
// the rules of the shared table, shortens reads and writes, and adds an offset to the wall clock.
// Without a table every call is passed through unchanged.
#include "tests/support/fault_injection.h"

#include <dlfcn.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <sys/uio.h>

#include <algorithm>
#include <cstdarg>

namespace {
using namespace faults;

template <typename Function>
Function real(const char* name) {
    return reinterpret_cast<Function>(::dlsym(RTLD_NEXT, name));
}
#define REAL(name) (static_cast<decltype(&::name)>(real<decltype(&::name)>(#name)))

std::int64_t monotonic_now_us() {
    static const auto real_call = REAL(clock_gettime);
    timespec time{};
    real_call(CLOCK_MONOTONIC, &time);
    return time.tv_sec * 1'000'000 + time.tv_nsec / 1000;
}

FaultTable* map_table() {
    const char* file = ::getenv(table_variable);
    if (!file) return nullptr;
    const int fd = REAL(open)(file, O_RDWR | O_CLOEXEC);
    if (fd < 0) return nullptr;
    void* address = ::mmap(nullptr, sizeof(FaultTable), PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
    ::close(fd);
    return address == MAP_FAILED ? nullptr : static_cast<FaultTable*>(address);
}
// A process may set the variable after its first calls, so each call checks until a table is
// mapped.
FaultTable* table() {
    static std::atomic<FaultTable*> mapped{nullptr};
    if (!mapped && ::getenv(table_variable)) mapped = map_table();
    return mapped;
}

bool random_chance(std::int64_t per_mille) {
    if (per_mille >= 1000) return true;
    static thread_local std::uint64_t state =
        static_cast<std::uint64_t>(table()->seed) * 0x9E3779B97F4A7C15u | 1;
    state ^= state << 13, state ^= state >> 7, state ^= state << 17;
    return static_cast<std::int64_t>(state % 1000) < per_mille;
}

// Sets errno and returns true if a rule makes this call fail; counts the failure.
bool inject_failure(SystemCall call) {
    FaultTable* fault_table = table();
    if (!fault_table) return false;
    FaultRule& rule = fault_table->rules[call];
    if (rule.until_us == 0 || monotonic_now_us() >= rule.until_us || rule.remaining <= 0 ||
        !random_chance(rule.per_mille))
        return false;
    --rule.remaining;
    ++rule.failed_calls;
    errno = static_cast<int>(rule.error);
    return true;
}
std::size_t limited_size(std::size_t size) {
    FaultTable* fault_table = table();
    if (!fault_table || fault_table->short_io_per_mille == 0 || size == 0 ||
        !random_chance(fault_table->short_io_per_mille))
        return size;
    return std::min(size, static_cast<std::size_t>(fault_table->short_io_max_bytes));
}
void add_wall_clock_offset(std::int64_t& seconds, std::int64_t& fraction,
                           std::int64_t fractions_per_second) {
    FaultTable* fault_table = table();
    const std::int64_t offset_us = fault_table ? fault_table->wall_clock_offset_us.load() : 0;
    if (offset_us == 0) return;
    const std::int64_t fractions_per_us = fractions_per_second / 1'000'000;
    const std::int64_t total_us = seconds * 1'000'000 + fraction / fractions_per_us + offset_us;
    seconds = total_us / 1'000'000, fraction = total_us % 1'000'000 * fractions_per_us;
}
}  // namespace

extern "C" {

int accept4(int fd, sockaddr* address, socklen_t* size, int flags) {
    return inject_failure(accept4_call) ? -1 : REAL(accept4)(fd, address, size, flags);
}
int socket(int domain, int type, int protocol) noexcept {
    return inject_failure(socket_call) ? -1 : REAL(socket)(domain, type, protocol);
}
int connect(int fd, const sockaddr* address, socklen_t size) {
    if (inject_failure(connect_call)) {
        // The kernel continues a connect that was interrupted by a signal.
        const int error = errno;
        if (error == EINTR) REAL(connect)(fd, address, size);
        errno = error;
        return -1;
    }
    return REAL(connect)(fd, address, size);
}
int getsockopt(int fd, int level, int name, void* value, socklen_t* size) noexcept {
    const int result = REAL(getsockopt)(fd, level, name, value, size);
    if (result == 0 && level == SOL_SOCKET && name == SO_ERROR && inject_failure(connect_result))
        *static_cast<int*>(value) = errno;
    return result;
}
int bind(int fd, const sockaddr* address, socklen_t size) noexcept {
    return inject_failure(bind_call) ? -1 : REAL(bind)(fd, address, size);
}
int listen(int fd, int backlog) noexcept {
    return inject_failure(listen_call) ? -1 : REAL(listen)(fd, backlog);
}
ssize_t recv(int fd, void* to, size_t size, int flags) {
    if (inject_failure(recv_call)) return -1;
    return REAL(recv)(fd, to, flags & MSG_PEEK ? size : limited_size(size), flags);
}
ssize_t send(int fd, const void* from, size_t size, int flags) {
    return inject_failure(send_call) ? -1 : REAL(send)(fd, from, limited_size(size), flags);
}
ssize_t sendmsg(int fd, const msghdr* message, int flags) {
    if (inject_failure(send_call)) return -1;
    if (message->msg_iovlen == 0 ||
        limited_size(message->msg_iov[0].iov_len) == message->msg_iov[0].iov_len)
        return REAL(sendmsg)(fd, message, flags);
    iovec first{message->msg_iov[0].iov_base,
                static_cast<std::size_t>(table()->short_io_max_bytes)};
    msghdr shortened = *message;
    shortened.msg_iov = &first, shortened.msg_iovlen = 1;
    return REAL(sendmsg)(fd, &shortened, flags);
}
int epoll_wait(int fd, epoll_event* events, int max_events, int timeout) {
    return inject_failure(epoll_wait_call) ? -1 : REAL(epoll_wait)(fd, events, max_events, timeout);
}
int epoll_ctl(int fd, int operation, int target_fd, epoll_event* event) noexcept {
    return inject_failure(epoll_ctl_call) ? -1 : REAL(epoll_ctl)(fd, operation, target_fd, event);
}
int open(const char* name, int flags, ...) {
    va_list arguments;
    va_start(arguments, flags);
    const mode_t mode = flags & O_CREAT ? va_arg(arguments, mode_t) : 0;
    va_end(arguments);
    return inject_failure(open_call) ? -1 : REAL(open)(name, flags, mode);
}
ssize_t read(int fd, void* to, size_t size) {
    return inject_failure(read_call) ? -1 : REAL(read)(fd, to, limited_size(size));
}
ssize_t write(int fd, const void* from, size_t size) {
    return inject_failure(write_call) ? -1 : REAL(write)(fd, from, size);
}
ssize_t pwrite(int fd, const void* from, size_t size, off_t offset) {
    if (inject_failure(pwrite_call)) {
        // On a disk that becomes full, the part that fits is written before the error.
        const int error = errno;
        if (size > 1 && error == ENOSPC) REAL(pwrite)(fd, from, size / 2, offset);
        errno = error;
        return -1;
    }
    return REAL(pwrite)(fd, from, limited_size(size), offset);
}
int fsync(int fd) {
    return inject_failure(fsync_call) ? -1 : REAL(fsync)(fd);
}
int ftruncate(int fd, off_t size) noexcept {
    return inject_failure(ftruncate_call) ? -1 : REAL(ftruncate)(fd, size);
}

int clock_gettime(clockid_t clock, timespec* time) noexcept {
    static const auto real_call = REAL(clock_gettime);
    const int result = real_call(clock, time);
    if (result == 0 && clock == CLOCK_REALTIME)
        add_wall_clock_offset(time->tv_sec, time->tv_nsec, 1'000'000'000);
    return result;
}
int gettimeofday(timeval* time, void* zone) noexcept {
    static const auto real_call = real<int (*)(timeval*, void*)>("gettimeofday");
    const int result = real_call(time, zone);
    if (result == 0) add_wall_clock_offset(time->tv_sec, time->tv_usec, 1'000'000);
    return result;
}

}  // extern "C"
