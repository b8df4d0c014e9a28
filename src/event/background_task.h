// Runs work that would block the loop for too long on a separate thread.
#pragma once

#include <ev.h>

#include <functional>
#include <thread>

#include "event/loop.h"

namespace silverreach::event {

// Runs one piece of work at a time. Used on the loop's thread; the loop must outlive it.
class BackgroundTask {
  public:
    explicit BackgroundTask(Loop& loop);
    ~BackgroundTask();  // waits for work in progress without calling its on_done
    BackgroundTask(const BackgroundTask&) = delete;
    BackgroundTask& operator=(const BackgroundTask&) = delete;
    bool is_busy() const { return busy_; }
    // Calls `work` on a separate thread, then `on_done` on the loop's thread. `work` must not
    // access data that the loop's thread uses, nor throw. May only be called while is_busy() is
    // false.
    void run(std::function<void()> work, std::function<void()> on_done);

  private:
    void finish();

    Loop& loop_;
    ev_async work_done_{};
    std::thread thread_;
    std::function<void()> on_done_;
    bool busy_ = false;
};

}  // namespace silverreach::event
