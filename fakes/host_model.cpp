#include "fakes/host_model.h"

#include <algorithm>

namespace silverreach::fakes {
namespace {
double seconds(Micros duration) {
    return static_cast<double>(duration.count()) / 1e6;
}
// Jobs of the latest size by which the recent work may exceed the budget, for random variation.
constexpr double tolerated_jobs = 2;
}  // namespace

double HostModel::capacity_share(Micros now) const {
    if (settings_.slow_start_window <= Micros(0)) return 1;
    const double age = seconds(now - started_at_) / seconds(settings_.slow_start_window);
    return age >= 1 ? 1
                    : settings_.initial_capacity_share +
                          (1 - settings_.initial_capacity_share) * std::max(0.0, age);
}
double HostModel::capacity(Micros now) const {
    return settings_.cores * settings_.speed * capacity_share(now);
}

bool HostModel::submit(Micros now, std::uint64_t job, Micros work) {
    if (has_failed_) return false;
    if (settings_.overload_factor > 0 && capacity_share(now) < 1) {
        recent_.emplace_back(now, work);
        recent_work_ += work;
        while (recent_.front().first + settings_.overload_window < now) {
            recent_work_ -= recent_.front().second;
            recent_.pop_front();
        }
        const double budget =
            settings_.overload_factor * capacity(now) * seconds(settings_.overload_window);
        if (seconds(recent_work_) > budget + tolerated_jobs * seconds(work)) {
            has_failed_ = true;
            queue_.clear(), running_.clear();
            return false;
        }
    }
    if (running_.size() >= static_cast<std::size_t>(settings_.cores) &&
        queue_.size() >= settings_.queue_limit)
        return false;
    queue_.push_back({job, work});
    start_jobs(now);
    return true;
}

void HostModel::start_jobs(Micros now) {
    while (!queue_.empty() && running_.size() < static_cast<std::size_t>(settings_.cores)) {
        const QueuedJob job = queue_.front();
        queue_.pop_front();
        const double duration_s = seconds(job.work) / (settings_.speed * capacity_share(now));
        running_.push_back({job.id, now + Micros(static_cast<std::int64_t>(duration_s * 1e6))});
    }
}

std::optional<Micros> HostModel::next_completion() const {
    if (running_.empty()) return std::nullopt;
    return std::min_element(
               running_.begin(), running_.end(),
               [](const RunningJob& a, const RunningJob& b) { return a.until < b.until; })
        ->until;
}

std::vector<HostModel::Completion> HostModel::take_completed(Micros now) {
    std::vector<Completion> completed;
    for (auto at = next_completion(); at && *at <= now; at = next_completion()) {
        const auto it = std::find_if(running_.begin(), running_.end(),
                                     [&](const RunningJob& job) { return job.until == *at; });
        completed.push_back({it->id, it->until});
        running_.erase(it);
        start_jobs(*at);
    }
    return completed;
}

}  // namespace silverreach::fakes
