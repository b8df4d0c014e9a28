// Work that takes longer than a turn of the loop may, on a thread of its own.
#pragma once

#include <ev.h>

#include <functional>
#include <thread>

#include "event/loop.h"

namespace silverreach::event {

// Runs one piece of work at a time; used on the loop's thread. The loop must outlive it.
class BackgroundTask {
  public:
    explicit BackgroundTask(Loop& loop);
    ~BackgroundTask();  // waits for work under way; its on_done is not called
    BackgroundTask(const BackgroundTask&) = delete;
    BackgroundTask& operator=(const BackgroundTask&) = delete;
    bool busy() const { return busy_; }
    // Calls `work` on the other thread, where it must share nothing with the loop's thread, then
    // `on_done` on the loop. Only while not busy.
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
