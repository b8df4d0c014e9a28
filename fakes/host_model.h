// A model of a host: cores that execute jobs, a queue, a slow start and a failure from overload.
// Used by the fake host and its tests. No I/O.
#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace silverreach::fakes {

using Micros = std::chrono::microseconds;

struct HostModelSettings {
    int cores = 3;
    double speed = 1;                   // of a core; a job takes its work divided by this
    std::size_t queue_limit = 64;       // jobs that may wait; further ones are rejected
    Micros slow_start_window{0};        // until the capacity is full; 0: full from the start
    double initial_capacity_share = 1;  // share of the full capacity at the start
    double overload_factor = 0;         // 0: never fails from overload
    Micros overload_window{0};
};

class HostModel {
  public:
    HostModel(const HostModelSettings& settings, Micros started_at)
        : settings_(settings), started_at_(started_at) {}

    struct Completion {
        std::uint64_t job;
        Micros at;
    };
    // Accepts a job or rejects it (false). Rejected work counts towards the overload too.
    bool submit(Micros now, std::uint64_t job, Micros work);
    // Removes and returns the jobs that are completed by now, in order.
    std::vector<Completion> take_completed(Micros now);
    std::optional<Micros> next_completion() const;

    double capacity_share(Micros now) const;  // of the full capacity
    double capacity(Micros now) const;        // seconds of work per second
    bool has_failed() const { return has_failed_; }
    std::size_t queued() const { return queue_.size(); }
    std::size_t running() const { return running_.size(); }

  private:
    struct QueuedJob {
        std::uint64_t id;
        Micros work;
    };
    struct RunningJob {
        std::uint64_t id;
        Micros until;
    };
    void start_jobs(Micros now);
    HostModelSettings settings_;
    Micros started_at_;
    std::deque<QueuedJob> queue_;
    std::vector<RunningJob> running_;
    std::deque<std::pair<Micros, Micros>> recent_;  // time and work of arrivals in overload_window
    Micros recent_work_{0};
    bool has_failed_ = false;
};

}  // namespace silverreach::fakes
