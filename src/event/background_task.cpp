#include "event/background_task.h"

#include <utility>

namespace silverreach::event {

BackgroundTask::BackgroundTask(Loop& loop) : loop_(loop) {
    ev_async_init(&work_done_, [](struct ev_loop*, ev_async* watcher, int) {
        static_cast<BackgroundTask*>(watcher->data)->finish();
    });
    work_done_.data = this;
    ev_async_start(loop.libev_loop(), &work_done_);
}

BackgroundTask::~BackgroundTask() {
    if (thread_.joinable()) thread_.join();
    ev_async_stop(loop_.libev_loop(), &work_done_);
}

void BackgroundTask::run(std::function<void()> work, std::function<void()> on_done) {
    busy_ = true;
    on_done_ = std::move(on_done);
    thread_ = std::thread([this, work = std::move(work)] {
        work();
        ev_async_send(loop_.libev_loop(), &work_done_);
    });
}

void BackgroundTask::finish() {
    if (thread_.joinable()) thread_.join();
    busy_ = false;
    // The callback may start the next piece of work or destroy this object.
    const auto on_done = std::exchange(on_done_, nullptr);
    if (on_done) on_done();
}

}  // namespace silverreach::event
