// Where objects go that may be in the middle of a call of their own: they are destroyed at the
// loop's next turn, or with this.
#pragma once

#include <memory>
#include <utility>
#include <vector>

#include "event/loop.h"

namespace silverreach::event {

template <class T>
class Graveyard {
  public:
    explicit Graveyard(Loop& loop) : loop_(loop) {}
    void bury(std::unique_ptr<T> object) {
        if (gone_.empty())
            loop_.after(Micros(0), [this, alive = std::weak_ptr<bool>(alive_)] {
                if (!alive.expired()) gone_.clear();
            });
        gone_.push_back(std::move(object));
    }

  private:
    Loop& loop_;
    std::vector<std::unique_ptr<T>> gone_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace silverreach::event
