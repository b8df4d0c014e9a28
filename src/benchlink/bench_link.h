// The simulator's wire: JSON lines to events, actions to JSON lines, one DecisionEngine for each
// gateway instance.
//
// Lines come in batches: a line with the clock, messages, a line that ends the batch and asks for
// the reply. Messages of an unknown name, or to an unknown instance, are ignored.
#pragma once

#include <cstdint>
#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>

namespace silverreach::benchlink {

// A malformed line. what(): "line NUMBER: PROBLEM".
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

    // Handles one line of input, without its line break. At the end of a batch appends the whole
    // reply to `out` and returns true. Throws WireError; the link is of no use after that.
    bool handle_line(std::string& line, std::string& out);

  private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

}  // namespace silverreach::benchlink
