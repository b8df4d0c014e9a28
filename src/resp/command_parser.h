// Parses RESP2 commands as a server gets them: an array of bulk strings, its arguments. No I/O.
//
// Each announced length is checked when its own header is complete, before a byte of what it
// announces is waited for, so a client's claim costs no memory.
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

    // `bytes` begin with the command being parsed; between two calls they only grow. The caller
    // keeps them: the parser remembers positions.
    ParseStatus parse(std::string_view bytes);
    // Ready for the next command; the caller removes `consumed()` bytes first.
    void reset();

    // Of a complete command; `bytes` are those passed to `parse`.
    std::size_t consumed() const { return position_; }
    std::size_t argument_count() const { return arguments_.size(); }
    std::string_view argument(std::string_view bytes, std::size_t index) const {
        return bytes.substr(arguments_[index].offset, arguments_[index].size);
    }
    // Of a malformed one.
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
    std::size_t position_ = 0;  // of the part that `state_` names
    std::size_t argument_total_ = 0;
    std::size_t bulk_size_ = 0;
    std::vector<Argument> arguments_;
    ParseError error_ = ParseError::none;
};

}  // namespace silverreach::resp
