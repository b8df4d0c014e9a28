#include "event/background.h"

namespace silverreach::event {

Background::Background(Loop& loop) : loop_(loop) {
    ev_async_init(&done_, [](struct ev_loop*, ev_async* w, int) {
        auto& self = *static_cast<Background*>(w->data);
        if (self.thread_.joinable()) self.thread_.join();
        self.busy_ = false;
        const auto taken = std::exchange(self.taken_, nullptr);
        if (taken) taken();
    });
    done_.data = this;
    ev_async_start(loop.raw(), &done_);
}
Background::~Background() {
    if (thread_.joinable()) thread_.join();
    ev_async_stop(loop_.raw(), &done_);
}
void Background::run(std::function<void()> work, std::function<void()> taken) {
    busy_ = true;
    taken_ = std::move(taken);
    thread_ = std::thread([this, work = std::move(work)] {
        work();
        ev_async_send(loop_.raw(), &done_);
    });
}

}  // namespace silverreach::event
