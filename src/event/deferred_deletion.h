// Defers the destruction of objects until the current callback of the loop has returned, so that an
// object can be released from within one of its own member functions.
#pragma once

#include <memory>
#include <utility>
#include <vector>

#include "event/loop.h"

namespace silverreach::event {

// Owns the scheduled objects until a timer with zero delay destroys them. Its own destruction
// destroys them immediately. Used on the loop's thread; the loop must outlive it.
template <class T>
class DeferredDeletion {
  public:
    explicit DeferredDeletion(Loop& loop) : loop_(loop) {}
    // Takes ownership of `object`, whose destructor runs after the current callback has returned.
    void schedule(std::unique_ptr<T> object) {
        if (scheduled_.empty())
            loop_.after(Micros(0), [this, alive = std::weak_ptr<bool>(alive_)] {
                if (!alive.expired()) scheduled_.clear();
            });
        scheduled_.push_back(std::move(object));
    }

  private:
    Loop& loop_;
    std::vector<std::unique_ptr<T>> scheduled_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace silverreach::event
