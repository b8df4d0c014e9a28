// A model of a tally host: cores that work, a waiting room, a cold start, and falling over. No I/O;
// the same model serves the host stand-in and its tests.
#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace silverreach::fakes {

using Micros = std::chrono::microseconds;

struct TallySettings {
    int cores = 3;
    double speed = 1;           // of a core; work takes its time divided by this
    std::size_t room = 64;      // jobs that may wait; more are turned away
    Micros cold{0};             // until warm; 0: always warm
    double start_capacity = 1;  // share of the capacity at the start
    double fall_multiple = 0;   // 0: never falls over
    Micros fall_time{0};
};

class Tally {
  public:
    Tally(const TallySettings& settings, Micros started) : s_(settings), started_(started) {}

    struct Done {
        std::uint64_t job;
        Micros at;
    };
    // Takes a job or turns it away (false). Work turned away still counts towards falling over.
    bool arrive(Micros now, std::uint64_t job, Micros work);
    // Jobs that are done by now, in order; and when the next one will be.
    std::vector<Done> advance(Micros now);
    std::optional<Micros> next() const;

    double share(Micros now) const;     // of the full capacity
    double capacity(Micros now) const;  // seconds of work a second
    bool fallen() const { return fallen_; }
    std::size_t waiting() const { return waiting_.size(); }
    std::size_t running() const { return running_.size(); }

  private:
    struct Job {
        std::uint64_t id;
        Micros work;
    };
    struct Running {
        std::uint64_t id;
        Micros until;
    };
    void start(Micros now);
    TallySettings s_;
    Micros started_;
    std::deque<Job> waiting_;
    std::vector<Running> running_;
    std::deque<std::pair<Micros, Micros>> lately_;  // arrivals within the fall time and their work
    Micros lately_work_{0};
    bool fallen_ = false;
};

}  // namespace silverreach::fakes
