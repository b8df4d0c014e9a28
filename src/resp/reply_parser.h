// Parses RESP2 replies as a client receives them: a status, error or integer line, a bulk string,
// or an array of these (not nested). No I/O. Lengths are checked as in CommandParser.
//
//   start ──'*'──> array_header ──> element ──bulk header──> bulk_value ──> complete
//     └──────other type──────────────▲ │ ▲                       │
//                                      │ └──── next element ─────┤
//                                      └── line or null ─────────┘      any ──> malformed
#pragma once

#include <cstddef>
#include <string_view>
#include <utility>

#include "resp/framing.h"
#include "resp/parse_limits.h"
#include "resp/reply.h"

namespace silverreach::resp {

class ReplyParser {
  public:
    explicit ReplyParser(ParseLimits limits = {}) : limits_(limits) {}

    // `bytes` starts with the reply being parsed and may only grow between two calls.
    ParseStatus parse(std::string_view bytes);
    // Prepares for the next reply. The caller removes `consumed()` bytes before it parses that.
    void reset();

    // Valid for a complete reply:
    std::size_t consumed() const { return position_; }
    Reply take() { return std::move(reply_); }

  private:
    enum class State {
        start,
        array_header,
        element,  // of an array, or the complete reply
        bulk_value,
        complete,
        malformed
    };

    ParseStatus advance(std::string_view bytes);
    ParseStatus parse_start(std::string_view bytes);
    ParseStatus parse_array_header(std::string_view bytes);
    ParseStatus parse_element(std::string_view bytes);
    ParseStatus parse_line(std::string_view bytes);
    ParseStatus parse_bulk_header(std::string_view bytes);
    ParseStatus parse_bulk_value(std::string_view bytes);
    ParseStatus accept(Reply element);

    ParseLimits limits_;
    State state_ = State::start;
    std::size_t position_ = 0;  // of the element that `state_` names
    std::size_t expected_element_count_ = 0;
    std::size_t bulk_size_ = 0;
    Reply reply_;
};

}  // namespace silverreach::resp
