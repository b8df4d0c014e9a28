// RAII over libev: one loop a thread, watchers that stop when they go, one heap of timers.
#pragma once

#include <ev.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

namespace silverreach::event {

using Micros = std::chrono::microseconds;

// The system refused something that a start needs: it may not, a moment later.
struct SystemRefused : std::runtime_error {
    using std::runtime_error::runtime_error;
};

class Loop {
  public:
    Loop();
    ~Loop();
    Loop(const Loop&) = delete;
    Loop& operator=(const Loop&) = delete;

    void run();
    void stop();
    // Monotonic; read once for each turn of the loop, so all that happens in one turn happens at
    // one time.
    Micros now() const;
    static Micros clock();  // the same clock, read afresh
    // The earliest moment at which what this turn found ready may have become so, if it was watched
    // in the turn before. While the loop waits something ready wakes it, so that is now; what
    // became ready while the last turn was at work, or while the process was held up, may be older.
    Micros ready_since() const { return ready_since_; }
    std::uint64_t turn() const { return turn_; }  // counts the waits
    // Calls once, `wait` from now. A timer cannot be taken back: its owner checks whether it still
    // matters.
    void after(Micros wait, std::function<void()> call);
    struct ev_loop* raw() const {
        return loop_;
    }
    // Called in each turn, before anything else of it.
    void each_turn(std::function<void()> call) { each_turn_ = std::move(call); }

  private:
    struct Due {
        Micros at;
        std::uint64_t order;  // timers due at once fire in the order in which they were set
        std::function<void()> call;
        bool operator<(const Due& o) const { return at != o.at ? at > o.at : order > o.order; }
    };
    void arm();
    void fire();
    void before_wait();
    void after_wait();
    struct ev_loop* loop_;
    ev_timer timer_{};
    ev_prepare prepare_{};
    ev_check check_{};
    std::vector<Due> heap_;
    std::uint64_t order_ = 0;
    Micros armed_{0};
    mutable Micros now_{0};
    Micros wait_began_{0}, wait_ended_{0}, ready_since_{0};
    bool was_late_ = false;  // the latest wait: the process did not run
    std::uint64_t turn_ = 0;
    std::function<void()> each_turn_;
};

enum Interest {
    none = 0,
    readable = EV_READ,
    writable = EV_WRITE
};

// Watches one descriptor, which its owner closes. Stable in memory while it lives.
class Io {
  public:
    Io(Loop& loop, int fd, std::function<void(int)> call);
    ~Io();
    Io(const Io&) = delete;
    Io& operator=(const Io&) = delete;
    void want(int interest);  // of Interest; no cost where nothing changes

  private:
    void failed();
    Loop& loop_;
    ev_io io_{};
    std::function<void(int)> call_;
    int interest_ = none;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

// Calls when a file's content may have changed; looks once in `period`. (libev's own watcher
// compares whole seconds.)
class FileWatch {
  public:
    FileWatch(Loop& loop, std::string path, Micros period, std::function<void()> call);
    FileWatch(const FileWatch&) = delete;
    FileWatch& operator=(const FileWatch&) = delete;

  private:
    struct Look {
        std::int64_t inode = 0, size = -1, changed_ns = 0;
        bool operator==(const Look&) const = default;
    };
    Look look() const;
    void again();
    Loop& loop_;
    std::string path_;
    Micros period_;
    std::function<void()> call_;
    Look last_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

// A descriptor that is closed when its owner goes.
class Fd {
  public:
    Fd() = default;
    explicit Fd(int fd) : fd_(fd) {}
    ~Fd() { reset(); }
    Fd(Fd&& o) noexcept : fd_(std::exchange(o.fd_, -1)) {}
    Fd& operator=(Fd&& o) noexcept {
        if (this != &o) reset(), fd_ = std::exchange(o.fd_, -1);
        return *this;
    }
    int get() const { return fd_; }
    explicit operator bool() const { return fd_ >= 0; }
    void reset();

  private:
    int fd_ = -1;
};

}  // namespace silverreach::event
