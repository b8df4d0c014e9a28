// Connects the simulator's wire protocol with the decision engine: turns JSON lines into events and
// actions into JSON lines. Runs one DecisionEngine for each gateway instance.
//
// Lines come in batches. A batch is a line with the clock, any number of messages, and a line that
// ends the batch and requests the reply. Messages with an unknown name or for an unknown instance
// are ignored.
#pragma once

#include <cstdint>
#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>

namespace silverreach::benchlink {

// A malformed line of input. what(): "line NUMBER: PROBLEM".
struct WireError : std::runtime_error {
    WireError(std::uint64_t line, std::string_view problem);
    std::uint64_t line_number;  // from 1
};

// Not thread-safe.
class BenchLink {
  public:
    BenchLink();
    ~BenchLink();
    BenchLink(const BenchLink&) = delete;
    BenchLink& operator=(const BenchLink&) = delete;

    // Handles one line of input, without its line break. At the end of a batch, appends the
    // complete reply to `out` and returns true. May enlarge the capacity of `line`. Throws
    // WireError, after which the object must not be used.
    bool handle_line(std::string& line, std::string& out);

  private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

}  // namespace silverreach::benchlink
