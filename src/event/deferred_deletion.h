// Destroys objects at the loop's next turn rather than at once, so that an object may give itself
// up from within one of its own calls.
#pragma once

#include <memory>
#include <utility>
#include <vector>

#include "event/loop.h"

namespace silverreach::event {

// Owns the scheduled objects until the next turn, or until its own destruction, which destroys
// them at once. Used on the loop's thread; the loop must outlive it.
template <class T>
class DeferredDeletion {
  public:
    explicit DeferredDeletion(Loop& loop) : loop_(loop) {}
    // Takes ownership of `object`; its destructor runs at the next turn of the loop.
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
