#include "event/loop.h"

#include <sys/stat.h>
#include <time.h>
#include <unistd.h>

#include <algorithm>
#include <stdexcept>

namespace silverreach::event {
namespace {
using namespace std::chrono_literals;
double seconds(Micros t) {
    return static_cast<double>(t.count()) / 1e6;
}
constexpr Micros no_wait = 1ms;  // a wait shorter than this found what was ready before it began
constexpr Micros watch_again = 5ms;  // after the system refused to watch a descriptor
constexpr timespec failed_wait{0, 1'000'000};
constexpr Micros held_up = 20ms;  // over the time for which a timer asked: the process did not run
}  // namespace

Loop::Loop() : loop_(ev_loop_new(EVFLAG_AUTO)) {
    // A wait that fails, for want of memory for one, is made again; libev would end the process.
    ev_set_syserr_cb([](const char*) noexcept { ::nanosleep(&failed_wait, nullptr); });
    if (!loop_) throw SystemRefused("event loop: the system offers no way to wait for sockets");
    now_ = wait_ended_ = ready_since_ = clock();
    ev_timer_init(
        &timer_, [](struct ev_loop*, ev_timer* t, int) { static_cast<Loop*>(t->data)->fire(); }, 0,
        0);
    timer_.data = this;
    // After the loop has slept the time is read again, once.
    ev_prepare_init(&prepare_, [](struct ev_loop*, ev_prepare* p, int) {
        static_cast<Loop*>(p->data)->before_wait();
    });
    prepare_.data = this;
    ev_prepare_start(loop_, &prepare_);
    ev_unref(loop_);
    ev_check_init(&check_, [](struct ev_loop*, ev_check* c, int) {
        static_cast<Loop*>(c->data)->after_wait();
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
    timespec t{};
    clock_gettime(CLOCK_MONOTONIC, &t);
    return Micros(t.tv_sec * 1'000'000 + t.tv_nsec / 1000);
}
Micros Loop::now() const {
    if (now_ == Micros(0)) now_ = clock();
    return now_;
}

void Loop::before_wait() {
    ++turn_;
    wait_began_ = clock();
    now_ = Micros(0);
}
void Loop::after_wait() {
    const Micros last_wait_ended = std::exchange(wait_ended_, clock());
    now_ = wait_ended_;
    const bool at_once = wait_ended_ - wait_began_ < no_wait;
    const bool late = armed_ != Micros(0) && wait_ended_ > std::max(armed_, wait_began_) + held_up;
    if (late) ready_since_ = wait_began_;
    // A stop ends the wait as a signal does, without a look: the next one finds what came
    // meanwhile.
    else if (at_once && !was_late_)
        ready_since_ = last_wait_ended;
    else if (!at_once)
        ready_since_ = wait_ended_;
    was_late_ = late;
    if (each_turn_) each_turn_();
}

void Loop::after(Micros wait, std::function<void()> call) {
    heap_.push_back({now() + std::max(wait, Micros(0)), order_++, std::move(call)});
    std::push_heap(heap_.begin(), heap_.end());
    if (armed_ == Micros(0) || heap_.front().at < armed_) arm();
}
void Loop::arm() {
    ev_timer_stop(loop_, &timer_);
    armed_ = Micros(0);
    if (heap_.empty()) return;
    armed_ = heap_.front().at;
    // From the loop's own idea of now, which may be older than ours.
    ev_now_update(loop_);
    ev_timer_set(&timer_, std::max(0.0, seconds(armed_ - clock())), 0);
    ev_timer_start(loop_, &timer_);
}
void Loop::fire() {
    const Micros until = std::max(now(), clock());
    now_ = until;
    // What these calls set for now comes at the next turn, so that sockets are not starved.
    const std::uint64_t fresh = order_;
    while (!heap_.empty() && heap_.front().at <= until && heap_.front().order < fresh) {
        std::pop_heap(heap_.begin(), heap_.end());
        auto call = std::move(heap_.back().call);
        heap_.pop_back();
        call();
    }
    arm();
}

Io::Io(Loop& loop, int fd, std::function<void(int)> call) : loop_(loop), call_(std::move(call)) {
    ev_io_init(
        &io_,
        [](struct ev_loop*, ev_io* w, int got) {
            Io& io = *static_cast<Io*>(w->data);
            if (got & EV_ERROR)
                io.failed();
            else
                io.call_(got);
        },
        fd, 0);
    // Before timers of the same turn: after a stall what has come is read before anybody is found
    // silent.
    ev_set_priority(&io_, 1);
    io_.data = this;
}
// The system would not watch it (no memory, too many watches), and libev has given the watch up.
// What its owner wants is asked for again a moment later, as nothing else would ever wake it.
void Io::failed() {
    const int wanted = std::exchange(interest_, none);
    loop_.after(watch_again, [this, wanted, alive = std::weak_ptr<bool>(alive_)] {
        if (!alive.expired() && interest_ == none) want(wanted);
    });
}
Io::~Io() {
    ev_io_stop(loop_.raw(), &io_);
}
void Io::want(int interest) {
    if (interest == interest_) return;
    ev_io_stop(loop_.raw(), &io_);
    interest_ = interest;
    if (interest == none) return;
    ev_io_set(&io_, io_.fd, interest);
    ev_io_start(loop_.raw(), &io_);
}

FileWatch::FileWatch(Loop& loop, std::string path, Micros period, std::function<void()> call)
    : loop_(loop), path_(std::move(path)), period_(period), call_(std::move(call)), last_(look()) {
    again();
}
FileWatch::Look FileWatch::look() const {
    struct stat s {};
    if (::stat(path_.c_str(), &s) != 0) return {};
    return {static_cast<std::int64_t>(s.st_ino), s.st_size,
            s.st_mtim.tv_sec * 1'000'000'000 + s.st_mtim.tv_nsec};
}
void FileWatch::again() {
    loop_.after(period_, [this, alive = std::weak_ptr<bool>(alive_)] {
        if (alive.expired()) return;
        const Look now = look();
        if (!(std::exchange(last_, now) == now)) call_();
        if (!alive.expired()) again();
    });
}

void Fd::reset() {
    if (fd_ >= 0) ::close(std::exchange(fd_, -1));
}

}  // namespace silverreach::event
