// Reports the readiness of one descriptor through a callback on the loop's thread.
#pragma once

#include <ev.h>

#include <functional>
#include <memory>

#include "event/loop.h"

namespace silverreach::event {

enum Interest {
    none = 0,
    readable = EV_READ,
    writable = EV_WRITE
};

// Watches a descriptor, which its owner must keep open while it is watched. Used on the loop's
// thread. Callbacks run before the timers of the same turn.
class IoWatcher {
  public:
    // `on_ready` receives the conditions that are met as a bit mask of Interest.
    IoWatcher(Loop& loop, int fd, std::function<void(int)> on_ready);
    ~IoWatcher();
    IoWatcher(const IoWatcher&) = delete;
    IoWatcher& operator=(const IoWatcher&) = delete;
    // Sets the conditions to watch for, a bit mask of Interest. Does nothing if it is unchanged.
    void set_interest(int interest);

  private:
    void on_watch_failed();

    Loop& loop_;
    ev_io io_{};
    std::function<void(int)> on_ready_;
    int interest_ = none;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace silverreach::event
