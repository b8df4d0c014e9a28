// Readiness of one descriptor, as a callback on the loop.
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

// Watches a descriptor that its owner keeps open for as long as it is watched. Used on the loop's
// thread. Callbacks come before the timers of the same turn.
class IoWatcher {
  public:
    // `on_ready` receives the conditions that are met, a set of Interest.
    IoWatcher(Loop& loop, int fd, std::function<void(int)> on_ready);
    ~IoWatcher();
    IoWatcher(const IoWatcher&) = delete;
    IoWatcher& operator=(const IoWatcher&) = delete;
    // Replaces the set of conditions to watch for, of Interest; free of cost when unchanged.
    void want(int interest);

  private:
    void on_watch_failed();

    Loop& loop_;
    ev_io io_{};
    std::function<void(int)> on_ready_;
    int interest_ = none;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace silverreach::event
