#include "event/signal.h"

#include <sys/eventfd.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <cerrno>
#include <csignal>
#include <map>
#include <memory>

#include "event/fd.h"
#include "event/io_watcher.h"

namespace silverreach::event {
namespace {
constexpr int signal_count = 65;  // numbers 1 to 64
std::array<std::atomic<bool>, signal_count> raised{};
std::atomic<int> wake_fd{-1};

// Async-signal-safe.
void on_raised(int number) {
    const int saved_errno = errno;
    raised[static_cast<std::size_t>(number)] = true;
    const std::uint64_t one = 1;
    if (wake_fd >= 0 && ::write(wake_fd, &one, sizeof one) < 0) {
        // Without the wake-up, the next turn of the loop reads the flag.
    }
    errno = saved_errno;
}

void install_handler(int number, void (*handler)(int)) {
    struct sigaction action {};
    action.sa_handler = handler;
    ::sigaction(number, &action, nullptr);
}

// The wake-up descriptor and the callbacks that all signals of the loop share.
class SignalDispatcher {
  public:
    explicit SignalDispatcher(Loop& loop)
        : loop_(loop), fd_(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {
        loop_.set_turn_callback([this] { dispatch_raised(); });
        if (!fd_) return;  // without the descriptor, only its timers wake the loop
        wake_fd = fd_.get();
        watcher_ = std::make_unique<IoWatcher>(loop, fd_.get(), [this](int) { clear_wakeup(); });
        watcher_->set_interest(readable);
    }
    ~SignalDispatcher() {
        wake_fd = -1;
        loop_.set_turn_callback({});
    }
    void add(int number, std::function<void()> callback) {
        callbacks_[number] = std::move(callback);
    }
    void remove(int number) { callbacks_.erase(number); }
    bool empty() const { return callbacks_.empty(); }

  private:
    void dispatch_raised() {
        for (const auto& [number, callback] : callbacks_)
            if (raised[static_cast<std::size_t>(number)].exchange(false))
                loop_.after(Micros(0), callback);
    }
    void clear_wakeup() const {
        std::uint64_t count = 0;
        while (::read(fd_.get(), &count, sizeof count) < 0 && errno == EINTR) {
        }
    }

    Loop& loop_;
    Fd fd_;
    std::unique_ptr<IoWatcher> watcher_;
    std::map<int, std::function<void()>> callbacks_;
};
std::unique_ptr<SignalDispatcher> dispatcher;
}  // namespace

Signal::Signal(Loop& loop, int number, std::function<void()> on_signal) : number_(number) {
    if (!dispatcher) dispatcher = std::make_unique<SignalDispatcher>(loop);
    raised[static_cast<std::size_t>(number)] = false;
    dispatcher->add(number, std::move(on_signal));
    install_handler(number, on_raised);
}

Signal::~Signal() {
    install_handler(number_, SIG_DFL);
    dispatcher->remove(number_);
    if (dispatcher->empty()) dispatcher.reset();
}

}  // namespace silverreach::event
