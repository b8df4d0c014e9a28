#include "fakes/host_model.h"

#include <algorithm>

namespace silverreach::fakes {
namespace {
double seconds(Micros t) {
    return static_cast<double>(t.count()) / 1e6;
}
constexpr double chance_slack = 2;  // largest jobs above the budget that pass, for chance
}  // namespace

double Tally::share(Micros now) const {
    if (s_.cold <= Micros(0)) return 1;
    const double age = seconds(now - started_) / seconds(s_.cold);
    return age >= 1 ? 1 : s_.start_capacity + (1 - s_.start_capacity) * std::max(0.0, age);
}
double Tally::capacity(Micros now) const {
    return s_.cores * s_.speed * share(now);
}

bool Tally::arrive(Micros now, std::uint64_t job, Micros work) {
    if (fallen_) return false;
    if (s_.fall_multiple > 0 && share(now) < 1) {
        lately_.emplace_back(now, work);
        lately_work_ += work;
        while (lately_.front().first + s_.fall_time < now) {
            lately_work_ -= lately_.front().second;
            lately_.pop_front();
        }
        const double budget = s_.fall_multiple * capacity(now) * seconds(s_.fall_time);
        if (seconds(lately_work_) > budget + chance_slack * seconds(work)) {
            fallen_ = true;
            waiting_.clear(), running_.clear();
            return false;
        }
    }
    if (running_.size() >= static_cast<std::size_t>(s_.cores) && waiting_.size() >= s_.room)
        return false;
    waiting_.push_back({job, work});
    start(now);
    return true;
}

void Tally::start(Micros now) {
    while (!waiting_.empty() && running_.size() < static_cast<std::size_t>(s_.cores)) {
        const Job job = waiting_.front();
        waiting_.pop_front();
        const double takes = seconds(job.work) / (s_.speed * share(now));
        running_.push_back({job.id, now + Micros(static_cast<std::int64_t>(takes * 1e6))});
    }
}

std::optional<Micros> Tally::next() const {
    if (running_.empty()) return std::nullopt;
    return std::min_element(running_.begin(), running_.end(),
                            [](const Running& a, const Running& b) { return a.until < b.until; })
        ->until;
}

std::vector<Tally::Done> Tally::advance(Micros now) {
    std::vector<Done> done;
    for (auto at = next(); at && *at <= now; at = next()) {
        const auto it = std::find_if(running_.begin(), running_.end(),
                                     [&](const Running& r) { return r.until == *at; });
        done.push_back({it->id, it->until});
        running_.erase(it);
        start(*at);
    }
    return done;
}

}  // namespace silverreach::fakes
