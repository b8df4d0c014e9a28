#include "event/loop.h"

#include <algorithm>
#include <ctime>
#include <utility>

#include "event/system_error.h"

namespace silverreach::event {
namespace {
using namespace std::chrono_literals;
constexpr Micros immediate_wait_limit =
    1ms;                                  // after a shorter wait, descriptors were ready before it
constexpr Micros stall_threshold = 20ms;  // delay of the end of a wait past its timer
constexpr timespec failed_wait_pause{0, 1'000'000};
constexpr double us_per_second = 1e6;

double to_seconds(Micros duration) {
    return static_cast<double>(duration.count()) / us_per_second;
}
}  // namespace

Loop::Loop() : loop_(ev_loop_new(EVFLAG_AUTO)) {
    // A wait can fail, for example for lack of memory. By default libev aborts the process then;
    // with this callback it retries the wait after a pause.
    ev_set_syserr_cb([](const char*) noexcept { ::nanosleep(&failed_wait_pause, nullptr); });
    if (!loop_) throw SystemError("event loop: the system offers no mechanism to wait for sockets");
    now_ = wait_ended_ = ready_since_ = clock();
    ev_timer_init(
        &timer_,
        [](struct ev_loop*, ev_timer* timer, int) {
            static_cast<Loop*>(timer->data)->fire_timers();
        },
        0, 0);
    timer_.data = this;
    // The cached time is cleared before each wait and read again after it.
    ev_prepare_init(&prepare_, [](struct ev_loop*, ev_prepare* prepare, int) {
        static_cast<Loop*>(prepare->data)->before_wait();
    });
    prepare_.data = this;
    ev_prepare_start(loop_, &prepare_);
    ev_unref(loop_);
    ev_check_init(&check_, [](struct ev_loop*, ev_check* check, int) {
        static_cast<Loop*>(check->data)->after_wait();
    });
    check_.data = this;
    ev_set_priority(&check_, EV_MAXPRI);
    ev_check_start(loop_, &check_);
    ev_unref(loop_);
}

Loop::~Loop() {
    ev_timer_stop(loop_, &timer_);
    ev_ref(loop_);
    ev_check_stop(loop_, &check_);
    ev_ref(loop_);
    ev_prepare_stop(loop_, &prepare_);
    ev_loop_destroy(loop_);
}

void Loop::run() {
    ev_run(loop_, 0);
}
void Loop::stop() {
    ev_break(loop_, EVBREAK_ALL);
}

Micros Loop::clock() {
    timespec time{};
    clock_gettime(CLOCK_MONOTONIC, &time);
    return Micros(time.tv_sec * 1'000'000 + time.tv_nsec / 1000);
}
Micros Loop::now() const {
    if (now_ == 0us) now_ = clock();
    return now_;
}

void Loop::before_wait() {
    ++turn_;
    wait_began_ = clock();
    now_ = 0us;
}

void Loop::after_wait() {
    const Micros last_wait_ended = std::exchange(wait_ended_, clock());
    now_ = wait_ended_;
    const bool immediate = wait_ended_ - wait_began_ < immediate_wait_limit;
    const bool stalled =
        armed_for_ != 0us && wait_ended_ > std::max(armed_for_, wait_began_) + stall_threshold;
    if (stalled) ready_since_ = wait_began_;
    // When a stopped process continues, its wait ends without polling, as after a signal. The next
    // wait reports the descriptors that became ready while the process was stopped, and therefore
    // keeps ready_since_.
    else if (immediate && !stalled_)
        ready_since_ = last_wait_ended;
    else if (!immediate)
        ready_since_ = wait_ended_;
    stalled_ = stalled;
    if (turn_callback_) turn_callback_();
}

void Loop::after(Micros delay, std::function<void()> callback) {
    timers_.push_back({now() + std::max(delay, 0us), next_order_++, std::move(callback)});
    std::push_heap(timers_.begin(), timers_.end());
    if (armed_for_ == 0us || timers_.front().due < armed_for_) arm_timer();
}

void Loop::arm_timer() {
    ev_timer_stop(loop_, &timer_);
    armed_for_ = 0us;
    if (timers_.empty()) return;
    armed_for_ = timers_.front().due;
    // libev counts the delay from its own cached time, which may be older than now().
    ev_now_update(loop_);
    ev_timer_set(&timer_, std::max(0.0, to_seconds(armed_for_ - clock())), 0);
    ev_timer_start(loop_, &timer_);
}

void Loop::fire_timers() {
    const Micros until = std::max(now(), clock());
    now_ = until;
    // Timers with zero delay that these callbacks set fire in the next turn, so that they do not
    // starve the sockets.
    const std::uint64_t first_new = next_order_;
    while (!timers_.empty() && timers_.front().due <= until && timers_.front().order < first_new) {
        std::pop_heap(timers_.begin(), timers_.end());
        const auto callback = std::move(timers_.back().callback);
        timers_.pop_back();
        callback();
    }
    arm_timer();
}

}  // namespace silverreach::event
