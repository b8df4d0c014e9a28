#include "event/token_timers.h"

#include <algorithm>
#include <bit>

namespace silverreach::event {
namespace {
constexpr std::int64_t slot_us = 1000;
}

TokenTimers::TokenTimers(Loop& loop, std::function<void(std::uint64_t)> fired)
    : loop_(loop), fired_(std::move(fired)), done_(slot_now()) {}

std::int64_t TokenTimers::slot_now() const {
    return loop_.now().count() / slot_us;
}

void TokenTimers::start(Micros from_now, std::uint64_t token) {
    const std::int64_t at = (loop_.now() + std::max(from_now, Micros(0))).count();
    ++pending_;
    put({std::max((at + slot_us - 1) / slot_us, done_ + 1), token});
    arm();
}

void TokenTimers::put(Entry entry) {
    if (entry.slot - done_ > static_cast<std::int64_t>(slots)) {
        overflow_.emplace(entry.slot, entry.token);
        return;
    }
    const std::size_t place = static_cast<std::size_t>(entry.slot) % slots;
    ring_[place].push_back(entry);
    used_[place / 64] |= 1ull << place % 64;
}

// Wakes for the next slot that holds anything; nothing pending costs nothing.
void TokenTimers::arm() {
    if (pending_ == 0) return;
    std::int64_t next = overflow_.empty()
                            ? INT64_MAX
                            : overflow_.begin()->first - static_cast<std::int64_t>(slots) + 1;
    const std::size_t from = static_cast<std::size_t>(done_ + 1) % slots;
    for (std::size_t step = 0; step <= slots / 64; ++step) {
        const std::size_t word = (from / 64 + step) % (slots / 64);
        std::uint64_t bits = used_[word];
        if (step == 0) bits &= ~0ull << from % 64;
        if (step == slots / 64) bits &= ~(~0ull << from % 64);
        if (!bits) continue;
        const std::size_t place = word * 64 + static_cast<std::size_t>(std::countr_zero(bits));
        next =
            std::min(next, done_ + 1 + static_cast<std::int64_t>((place + slots - from) % slots));
        break;
    }
    next = std::max(next, done_ + 1);
    if (armed_ != 0 && armed_ <= next) return;
    armed_ = next;
    loop_.after(Micros(next * slot_us) - loop_.now(),
                [this, next, alive = std::weak_ptr<bool>(alive_)] {
                    if (alive.expired() || armed_ != next) return;
                    armed_ = 0;
                    fire();
                });
}

void TokenTimers::fire() {
    const std::int64_t until = slot_now();
    std::vector<Entry> due;
    while (done_ < until && pending_ > 0) {
        const std::size_t place = static_cast<std::size_t>(++done_) % slots;
        while (!overflow_.empty() &&
               overflow_.begin()->first - done_ < static_cast<std::int64_t>(slots)) {
            const auto first = overflow_.begin();
            put({std::max(first->first, done_), first->second});
            overflow_.erase(first);
        }
        if (!(used_[place / 64] >> place % 64 & 1)) continue;
        used_[place / 64] &= ~(1ull << place % 64);
        due.swap(ring_[place]);
        pending_ -= due.size();
        for (const Entry& entry : due)
            fired_(entry.token);
        due.clear();
        // The slot's room is kept for the next time round, unless a rush has made it large.
        if (due.capacity() <= 64 && ring_[place].empty())
            ring_[place].swap(due);
        else
            due = {};
    }
    if (pending_ == 0) done_ = std::max(done_, until);
    arm();
}

}  // namespace silverreach::event
