// Parses RESP2 commands as a server receives them: arrays of bulk strings, the arguments. No I/O.
//
// Each length is checked as soon as its header is complete, before the parser waits for the bytes
// that the header announces, so that an excessive length causes no allocation.
//
//   array_header ──> bulk_header ──> bulk_value ──> complete
//                        ▲               │
//                        └─ next argument┘         any ──> malformed
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

#include "resp/framing.h"
#include "resp/parse_error.h"
#include "resp/parse_limits.h"

namespace silverreach::resp {

class CommandParser {
  public:
    explicit CommandParser(ParseLimits limits = {}) : limits_(limits) {}

    // `bytes` starts with the command being parsed and may only grow between two calls. The caller
    // keeps the bytes; the parser stores positions in them.
    ParseStatus parse(std::string_view bytes);
    // Prepares for the next command. The caller removes `consumed()` bytes before it parses that.
    void reset();

    // Valid for a complete command; `bytes` is the text passed to `parse`.
    std::size_t consumed() const { return position_; }
    std::size_t argument_count() const { return arguments_.size(); }
    std::string_view argument(std::string_view bytes, std::size_t index) const {
        return bytes.substr(arguments_[index].offset, arguments_[index].size);
    }
    // Valid for a malformed command.
    ParseError error() const { return error_; }

  private:
    enum class State {
        array_header,
        bulk_header,
        bulk_value,
        complete,
        malformed
    };
    struct Argument {
        std::size_t offset;
        std::size_t size;
    };

    ParseStatus advance(std::string_view bytes);
    ParseStatus parse_array_header(std::string_view bytes);
    ParseStatus parse_bulk_header(std::string_view bytes);
    ParseStatus parse_bulk_value(std::string_view bytes);
    ParseStatus fail(ParseError error);

    ParseLimits limits_;
    State state_ = State::array_header;
    std::size_t position_ = 0;  // of the element that `state_` names
    std::size_t expected_argument_count_ = 0;
    std::size_t bulk_size_ = 0;
    std::vector<Argument> arguments_;
    ParseError error_ = ParseError::none;
};

}  // namespace silverreach::resp
