#include "event/timer_wheel.h"

#include <algorithm>
#include <bit>
#include <limits>

namespace silverreach::event {
namespace {
using namespace std::chrono_literals;
constexpr std::int64_t slot_us = 1000;
constexpr std::int64_t no_slot = std::numeric_limits<std::int64_t>::max();
constexpr std::size_t kept_slot_capacity = 64;  // timers
}  // namespace

TimerWheel::TimerWheel(Loop& loop, std::function<void(std::uint64_t)> on_timer)
    : loop_(loop), on_timer_(std::move(on_timer)), fired_(current_slot()) {}

std::int64_t TimerWheel::current_slot() const {
    return loop_.now().count() / slot_us;
}

void TimerWheel::start(Micros delay, std::uint64_t token) {
    const std::int64_t due_us = (loop_.now() + std::max(delay, 0us)).count();
    ++pending_;
    insert({std::max((due_us + slot_us - 1) / slot_us, fired_ + 1), token});
    arm();
}

void TimerWheel::insert(Timer timer) {
    if (timer.slot - fired_ > static_cast<std::int64_t>(slot_count)) {
        overflow_.emplace(timer.slot, timer.token);
        return;
    }
    const std::size_t index = static_cast<std::size_t>(timer.slot) % slot_count;
    ring_[index].push_back(timer);
    used_[index / word_bits] |= 1ull << index % word_bits;
}

// Scans the ring once, from the slot after the last fired one. The first word is scanned twice: its
// upper bits first, its lower bits at the end.
std::int64_t TimerWheel::next_used_slot() const {
    constexpr std::size_t words = slot_count / word_bits;
    const std::size_t from = static_cast<std::size_t>(fired_ + 1) % slot_count;
    const std::uint64_t not_before_from = ~0ull << from % word_bits;
    for (std::size_t step = 0; step <= words; ++step) {
        const std::size_t word = (from / word_bits + step) % words;
        std::uint64_t bits = used_[word];
        if (step == 0) bits &= not_before_from;
        if (step == words) bits &= ~not_before_from;
        if (!bits) continue;
        const std::size_t index =
            word * word_bits + static_cast<std::size_t>(std::countr_zero(bits));
        return fired_ + 1 + static_cast<std::int64_t>((index + slot_count - from) % slot_count);
    }
    return no_slot;
}

// Sets a loop timer for the next slot in use. Without pending timers it sets none.
void TimerWheel::arm() {
    if (pending_ == 0) return;
    const std::int64_t refill =
        overflow_.empty() ? no_slot
                          : overflow_.begin()->first - static_cast<std::int64_t>(slot_count) + 1;
    const std::int64_t next = std::max(std::min(refill, next_used_slot()), fired_ + 1);
    if (armed_ != 0 && armed_ <= next) return;
    armed_ = next;
    loop_.after(Micros(next * slot_us) - loop_.now(),
                [this, next, alive = std::weak_ptr<bool>(alive_)] {
                    if (alive.expired() || armed_ != next) return;
                    armed_ = 0;
                    fire();
                });
}

void TimerWheel::fire() {
    const std::int64_t until = current_slot();
    while (fired_ < until && pending_ > 0) {
        const std::size_t index = static_cast<std::size_t>(++fired_) % slot_count;
        refill_from_overflow();
        fire_slot(index);
    }
    if (pending_ == 0) fired_ = std::max(fired_, until);
    arm();
}

void TimerWheel::refill_from_overflow() {
    while (!overflow_.empty() &&
           overflow_.begin()->first - fired_ < static_cast<std::int64_t>(slot_count)) {
        const auto first = overflow_.begin();
        insert({std::max(first->first, fired_), first->second});
        overflow_.erase(first);
    }
}

void TimerWheel::fire_slot(std::size_t index) {
    if (!(used_[index / word_bits] >> index % word_bits & 1)) return;
    used_[index / word_bits] &= ~(1ull << index % word_bits);
    std::vector<Timer> due;
    due.swap(ring_[index]);
    pending_ -= due.size();
    for (const Timer& timer : due)
        on_timer_(timer.token);
    due.clear();
    // The slot keeps its memory for the next use, unless a burst has made it large.
    if (due.capacity() <= kept_slot_capacity && ring_[index].empty()) ring_[index].swap(due);
}

}  // namespace silverreach::event
