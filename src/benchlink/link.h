// Speaks the bench's wire: JSON lines to events, actions to JSON lines, one Gateway for each
// instance number.
#pragma once

#include <memory>
#include <stdexcept>
#include <string>

namespace silverreach::benchlink {

// What is malformed, with the number of the line and what was expected there.
struct WireError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

class Link {
  public:
    Link();
    ~Link();
    // Takes one line of input. At the end of a batch appends the whole reply to `out` and returns
    // true.
    bool take_line(std::string& line, std::string& out);

  private:
    struct State;
    std::unique_ptr<State> state_;
};

}  // namespace silverreach::benchlink
