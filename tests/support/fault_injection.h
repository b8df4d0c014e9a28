// Fault injection for system calls. A preloaded library (fault_injection.cpp) in the process under
// test reads a table of rules from a shared file; the test or the soak test writes the table.
#pragma once

#include <fcntl.h>
#include <sys/mman.h>
#include <unistd.h>

#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <ctime>
#include <stdexcept>
#include <string>

namespace faults {

// The calls that can be made to fail. connect_result is the error with which a pending connect
// ends (SO_ERROR).
enum SystemCall {
    accept4_call,
    socket_call,
    connect_call,
    connect_result,
    bind_call,
    listen_call,
    recv_call,
    send_call,
    epoll_wait_call,
    epoll_ctl_call,
    open_call,
    read_call,
    write_call,
    pwrite_call,
    fsync_call,
    ftruncate_call,
    call_count
};

// A rule fails calls with probability `per_mille` until `until_us` (monotonic clock) is reached or
// `remaining` failures are used up.
struct FaultRule {
    std::atomic<std::int64_t> error{0}, remaining{0}, until_us{0}, per_mille{1000};
    std::atomic<std::int64_t> failed_calls{0};  // calls that this rule has failed
};
struct FaultTable {
    FaultRule rules[call_count];
    std::atomic<std::int64_t> wall_clock_offset_us{0};  // added to the wall clock
    std::atomic<std::int64_t> short_io_per_mille{0},
        short_io_max_bytes{1};  // size to which reads and writes are shortened
    std::atomic<std::int64_t> seed{1};
};

constexpr const char* table_variable = "SILVERREACH_FAULTS";
constexpr std::int64_t unlimited = 1'000'000'000;

inline std::int64_t monotonic_us() {
    timespec time{};
    ::clock_gettime(CLOCK_MONOTONIC, &time);
    return time.tv_sec * 1'000'000 + time.tv_nsec / 1000;
}

// The fault table of one process, in a file that the process under test maps as well.
class SharedFaultTable {
  public:
    SharedFaultTable() {
        std::string name = "/tmp/silverreach-faults-XXXXXX";
        const int fd = ::mkstemp(name.data());
        if (fd < 0 || ::ftruncate(fd, sizeof(FaultTable)) != 0)
            throw std::runtime_error(name + ": cannot create the fault table");
        file_ = name;
        void* address =
            ::mmap(nullptr, sizeof(FaultTable), PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
        ::close(fd);
        if (address == MAP_FAILED) throw std::runtime_error(name + ": cannot map the fault table");
        table_ = new (address) FaultTable;
    }
    ~SharedFaultTable() {
        ::munmap(table_, sizeof(FaultTable));
        ::unlink(file_.c_str());
    }
    SharedFaultTable(const SharedFaultTable&) = delete;
    SharedFaultTable& operator=(const SharedFaultTable&) = delete;

    const std::string& file() const { return file_; }
    FaultTable* operator->() { return table_; }
    void fail(SystemCall call, int error, std::int64_t count, std::chrono::milliseconds duration,
              int per_mille = 1000) {
        FaultRule& rule = table_->rules[call];
        rule.until_us = 0;
        rule.error = error, rule.remaining = count, rule.per_mille = per_mille;
        rule.until_us = monotonic_us() + std::chrono::microseconds(duration).count();
    }
    std::int64_t failed_calls(SystemCall call) const { return table_->rules[call].failed_calls; }
    void clear() {
        for (FaultRule& rule : table_->rules)
            rule.until_us = 0;
        table_->short_io_per_mille = 0;
    }

  private:
    std::string file_;
    FaultTable* table_ = nullptr;
};

}  // namespace faults
