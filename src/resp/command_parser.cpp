#include "resp/command_parser.h"

namespace silverreach::resp {
namespace {
constexpr std::int64_t min_elements = 1;  // the name of the command
}  // namespace

ParseStatus CommandParser::parse(std::string_view bytes) {
    while (state_ != State::complete) {
        const ParseStatus status = advance(bytes);
        if (status != ParseStatus::complete) return status;
    }
    return ParseStatus::complete;
}

// Parses the element that the state names and moves to the next one.
ParseStatus CommandParser::advance(std::string_view bytes) {
    switch (state_) {
        case State::array_header:
            return parse_array_header(bytes);
        case State::bulk_header:
            return parse_bulk_header(bytes);
        case State::bulk_value:
            return parse_bulk_value(bytes);
        case State::complete:
            return ParseStatus::complete;
        case State::malformed:
            break;
    }
    return ParseStatus::malformed;
}

ParseStatus CommandParser::parse_array_header(std::string_view bytes) {
    std::int64_t count = 0;
    const ParseStatus status = parse_header(bytes, position_, array_type, count);
    if (status == ParseStatus::incomplete) return status;
    if (status == ParseStatus::malformed) return fail(ParseError::expected_array);
    if (!limits_.allows_element_count(count, min_elements))
        return fail(ParseError::element_count_out_of_range);
    expected_argument_count_ = static_cast<std::size_t>(count);
    state_ = State::bulk_header;
    return ParseStatus::complete;
}

ParseStatus CommandParser::parse_bulk_header(std::string_view bytes) {
    std::int64_t size = 0;
    const ParseStatus status = parse_header(bytes, position_, bulk_string_type, size);
    if (status == ParseStatus::incomplete) return status;
    if (status == ParseStatus::malformed) return fail(ParseError::expected_bulk_string);
    if (!limits_.allows_bulk_string(size, position_)) return fail(ParseError::length_out_of_range);
    bulk_size_ = static_cast<std::size_t>(size);
    state_ = State::bulk_value;
    return ParseStatus::complete;
}

ParseStatus CommandParser::parse_bulk_value(std::string_view bytes) {
    const ParseStatus status = parse_value_end(bytes, position_ + bulk_size_);
    if (status == ParseStatus::incomplete) return status;
    if (status == ParseStatus::malformed) return fail(ParseError::length_mismatch);
    arguments_.push_back({position_, bulk_size_});
    position_ += bulk_size_ + crlf_bytes;
    state_ = arguments_.size() < expected_argument_count_ ? State::bulk_header : State::complete;
    return ParseStatus::complete;
}

ParseStatus CommandParser::fail(ParseError error) {
    error_ = error;
    state_ = State::malformed;
    return ParseStatus::malformed;
}

void CommandParser::reset() {
    state_ = State::array_header;
    position_ = 0;
    error_ = ParseError::none;
    arguments_.clear();
}

}  // namespace silverreach::resp
