#include "event/signal.h"

#include <signal.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <cerrno>
#include <map>

namespace silverreach::event {
namespace {
constexpr int most_signals = 65;
std::array<std::atomic<bool>, most_signals> came{};
std::atomic<int> wake_fd{-1};

void note(int number) {
    const int error = errno;
    came[static_cast<std::size_t>(number)] = true;
    const std::uint64_t one = 1;
    if (wake_fd >= 0 && ::write(wake_fd, &one, sizeof one) < 0) {
        // The next turn sees the note.
    }
    errno = error;
}

// What the signals of one loop share.
class Hub {
  public:
    explicit Hub(Loop& loop) : loop_(loop), fd_(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {
        loop_.each_turn([this] { call_those_that_came(); });
        if (!fd_) return;  // the loop's timers wake it
        wake_fd = fd_.get();
        io_ = std::make_unique<Io>(loop, fd_.get(), [this](int) {
            std::uint64_t count = 0;
            while (::read(fd_.get(), &count, sizeof count) < 0 && errno == EINTR) {
            }
        });
        io_->want(readable);
    }
    ~Hub() {
        wake_fd = -1;
        loop_.each_turn({});
    }
    std::map<int, std::function<void()>> calls;

  private:
    void call_those_that_came() {
        for (auto it = calls.begin(); it != calls.end();) {
            const auto next = std::next(it);
            if (came[static_cast<std::size_t>(it->first)].exchange(false))
                loop_.after(Micros(0), it->second);
            it = next;
        }
    }
    Loop& loop_;
    Fd fd_;
    std::unique_ptr<Io> io_;
};
std::unique_ptr<Hub> hub;

void handle(int number, void (*handler)(int)) {
    struct sigaction action {};
    action.sa_handler = handler;
    ::sigaction(number, &action, nullptr);
}
}  // namespace

Signal::Signal(Loop& loop, int number, std::function<void()> call) : number_(number) {
    if (!hub) hub = std::make_unique<Hub>(loop);
    came[static_cast<std::size_t>(number)] = false;
    hub->calls[number] = std::move(call);
    handle(number, note);
}
Signal::~Signal() {
    handle(number_, SIG_DFL);
    hub->calls.erase(number_);
    if (hub->calls.empty()) hub.reset();
}

}  // namespace silverreach::event
