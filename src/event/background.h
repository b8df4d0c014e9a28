// Work that takes longer than a turn of the loop may: done on a thread, its result taken on the
// loop.
#pragma once

#include <functional>
#include <memory>
#include <thread>

#include "event/loop.h"

namespace silverreach::event {

// One piece of work at a time. `work` must share nothing with the loop's thread; `taken` is called
// on the loop, and not at all once this has gone.
class Background {
  public:
    explicit Background(Loop& loop);
    ~Background();  // waits for work under way
    Background(const Background&) = delete;
    Background& operator=(const Background&) = delete;
    bool busy() const { return busy_; }
    void run(std::function<void()> work, std::function<void()> taken);

  private:
    Loop& loop_;
    ev_async done_{};
    std::thread thread_;
    std::function<void()> taken_;
    bool busy_ = false;
};

}  // namespace silverreach::event
