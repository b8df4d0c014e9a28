#include "event/io_watcher.h"

#include <utility>

namespace silverreach::event {
namespace {
using namespace std::chrono_literals;
constexpr Micros watch_retry_delay = 5ms;
constexpr int priority_before_timers = 1;
}  // namespace

IoWatcher::IoWatcher(Loop& loop, int fd, std::function<void(int)> on_ready)
    : loop_(loop), on_ready_(std::move(on_ready)) {
    ev_io_init(
        &io_,
        [](struct ev_loop*, ev_io* watcher, int conditions) {
            IoWatcher& self = *static_cast<IoWatcher*>(watcher->data);
            if (conditions & EV_ERROR)
                self.on_watch_failed();
            else
                self.on_ready_(conditions);
        },
        fd, 0);
    // After a stall of the process, responses that have arrived are read before the timers that
    // would report them as missing.
    ev_set_priority(&io_, priority_before_timers);
    io_.data = this;
}

IoWatcher::~IoWatcher() {
    ev_io_stop(loop_.libev_loop(), &io_);
}

// The system refused the watch (no memory, too many watches) and libev has stopped the watcher.
// Without a retry the owner would never be called again.
void IoWatcher::on_watch_failed() {
    const int interest = std::exchange(interest_, none);
    loop_.after(watch_retry_delay, [this, interest, alive = std::weak_ptr<bool>(alive_)] {
        if (!alive.expired() && interest_ == none) set_interest(interest);
    });
}

void IoWatcher::set_interest(int interest) {
    if (interest == interest_) return;
    ev_io_stop(loop_.libev_loop(), &io_);
    interest_ = interest;
    if (interest == none) return;
    ev_io_set(&io_, io_.fd, interest);
    ev_io_start(loop_.libev_loop(), &io_);
}

}  // namespace silverreach::event
