#include "event/timer_wheel.h"

#include <algorithm>
#include <bit>
#include <limits>

namespace silverreach::event {
namespace {
using namespace std::chrono_literals;
constexpr std::int64_t slot_us = 1000;
constexpr std::int64_t no_slot = std::numeric_limits<std::int64_t>::max();
constexpr std::size_t max_retained_slot_capacity = 64;  // timers
}  // namespace

TimerWheel::TimerWheel(Loop& loop, std::function<void(std::uint64_t)> on_timer)
    : loop_(loop), on_timer_(std::move(on_timer)), last_fired_slot_(current_slot()) {}

std::int64_t TimerWheel::current_slot() const {
    return loop_.now().count() / slot_us;
}

void TimerWheel::start(Micros delay, std::uint64_t token) {
    const std::int64_t due_us = (loop_.now() + std::max(delay, 0us)).count();
    ++pending_;
    insert({std::max((due_us + slot_us - 1) / slot_us, last_fired_slot_ + 1), token});
    arm();
}

void TimerWheel::insert(Timer timer) {
    if (timer.slot - last_fired_slot_ > static_cast<std::int64_t>(slot_count)) {
        overflow_.emplace(timer.slot, timer.token);
        return;
    }
    const std::size_t index = static_cast<std::size_t>(timer.slot) % slot_count;
    ring_[index].push_back(timer);
    used_slots_[index / word_bits] |= 1ull << index % word_bits;
}

// Scans the ring once, from the slot after the last fired one. The first word is scanned twice: its
// upper bits first, its lower bits at the end.
std::int64_t TimerWheel::next_used_slot() const {
    constexpr std::size_t word_count = slot_count / word_bits;
    const std::size_t first_index = static_cast<std::size_t>(last_fired_slot_ + 1) % slot_count;
    const std::uint64_t first_word_mask = ~0ull << first_index % word_bits;
    for (std::size_t step = 0; step <= word_count; ++step) {
        const std::size_t word = (first_index / word_bits + step) % word_count;
        std::uint64_t bits = used_slots_[word];
        if (step == 0) bits &= first_word_mask;
        if (step == word_count) bits &= ~first_word_mask;
        if (!bits) continue;
        const std::size_t index =
            word * word_bits + static_cast<std::size_t>(std::countr_zero(bits));
        return last_fired_slot_ + 1 +
               static_cast<std::int64_t>((index + slot_count - first_index) % slot_count);
    }
    return no_slot;
}

// Sets a loop timer for the next slot in use. Without pending timers it sets none.
void TimerWheel::arm() {
    if (pending_ == 0) return;
    const std::int64_t refill_slot =
        overflow_.empty() ? no_slot
                          : overflow_.begin()->first - static_cast<std::int64_t>(slot_count) + 1;
    const std::int64_t next_slot =
        std::max(std::min(refill_slot, next_used_slot()), last_fired_slot_ + 1);
    if (armed_slot_ != 0 && armed_slot_ <= next_slot) return;
    armed_slot_ = next_slot;
    loop_.after(Micros(next_slot * slot_us) - loop_.now(),
                [this, next_slot, alive = std::weak_ptr<bool>(alive_)] {
                    if (alive.expired() || armed_slot_ != next_slot) return;
                    armed_slot_ = 0;
                    fire();
                });
}

void TimerWheel::fire() {
    const std::int64_t until = current_slot();
    while (last_fired_slot_ < until && pending_ > 0) {
        const std::size_t index = static_cast<std::size_t>(++last_fired_slot_) % slot_count;
        refill_from_overflow();
        fire_slot(index);
    }
    if (pending_ == 0) last_fired_slot_ = std::max(last_fired_slot_, until);
    arm();
}

void TimerWheel::refill_from_overflow() {
    while (!overflow_.empty() &&
           overflow_.begin()->first - last_fired_slot_ < static_cast<std::int64_t>(slot_count)) {
        const auto first = overflow_.begin();
        insert({std::max(first->first, last_fired_slot_), first->second});
        overflow_.erase(first);
    }
}

void TimerWheel::fire_slot(std::size_t index) {
    if (!(used_slots_[index / word_bits] >> index % word_bits & 1)) return;
    used_slots_[index / word_bits] &= ~(1ull << index % word_bits);
    std::vector<Timer> due;
    due.swap(ring_[index]);
    pending_ -= due.size();
    for (const Timer& timer : due)
        on_timer_(timer.token);
    due.clear();
    // The slot keeps its memory for the next use, unless a burst has made it large.
    if (due.capacity() <= max_retained_slot_capacity && ring_[index].empty())
        ring_[index].swap(due);
}

}  // namespace silverreach::event
