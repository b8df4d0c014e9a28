#include "resp/reply_parser.h"

#include <cstdint>
#include <string>

namespace silverreach::resp {
namespace {
constexpr char status_type = '+';
constexpr char error_type = '-';
constexpr char integer_type = ':';
constexpr std::int64_t null_length = -1;

bool is_line_type(char type) {
    return type == status_type || type == error_type || type == integer_type;
}

ReplyType line_type(char type) {
    if (type == status_type) return ReplyType::status;
    return type == error_type ? ReplyType::error : ReplyType::integer;
}
}  // namespace

ParseStatus ReplyParser::parse(std::string_view bytes) {
    while (state_ != State::complete) {
        const ParseStatus status = advance(bytes);
        if (status == ParseStatus::malformed) state_ = State::malformed;
        if (status != ParseStatus::complete) return status;
    }
    return ParseStatus::complete;
}

// Parses the element that the state names and moves to the next one.
ParseStatus ReplyParser::advance(std::string_view bytes) {
    switch (state_) {
        case State::start:
            return parse_start(bytes);
        case State::array_header:
            return parse_array_header(bytes);
        case State::element:
            return parse_element(bytes);
        case State::bulk_value:
            return parse_bulk_value(bytes);
        case State::complete:
            return ParseStatus::complete;
        case State::malformed:
            break;
    }
    return ParseStatus::malformed;
}

ParseStatus ReplyParser::parse_start(std::string_view bytes) {
    if (bytes.empty()) return ParseStatus::incomplete;
    state_ = bytes.front() == array_type ? State::array_header : State::element;
    return ParseStatus::complete;
}

ParseStatus ReplyParser::parse_array_header(std::string_view bytes) {
    std::int64_t count = 0;
    const ParseStatus status = parse_header(bytes, position_, array_type, count);
    if (status != ParseStatus::complete) return status;
    if (!limits_.allows_element_count(count, 0)) return ParseStatus::malformed;
    reply_.type = ReplyType::array;
    expected_element_count_ = static_cast<std::size_t>(count);
    state_ = expected_element_count_ > 0 ? State::element : State::complete;
    return ParseStatus::complete;
}

ParseStatus ReplyParser::parse_element(std::string_view bytes) {
    if (position_ >= bytes.size()) return ParseStatus::incomplete;
    return is_line_type(bytes[position_]) ? parse_line(bytes) : parse_bulk_header(bytes);
}

ParseStatus ReplyParser::parse_line(std::string_view bytes) {
    const std::string_view rest = bytes.substr(position_ + 1, limits_.max_line_bytes + crlf_bytes);
    const std::size_t end = rest.find('\r');
    if (end == std::string_view::npos)
        return rest.size() > limits_.max_line_bytes ? ParseStatus::malformed
                                                    : ParseStatus::incomplete;
    const std::string_view line = rest.substr(0, end);
    if (end > limits_.max_line_bytes || line.find('\n') != std::string_view::npos)
        return ParseStatus::malformed;
    const ParseStatus status = parse_value_end(rest, end);
    if (status != ParseStatus::complete) return status;
    Reply element{line_type(bytes[position_]), std::string(line), {}};
    position_ += 1 + end + crlf_bytes;
    return accept(std::move(element));
}

ParseStatus ReplyParser::parse_bulk_header(std::string_view bytes) {
    std::int64_t size = 0;
    const ParseStatus status = parse_header(bytes, position_, bulk_string_type, size);
    if (status != ParseStatus::complete) return status;
    if (size == null_length) return accept(Reply{});
    if (!limits_.allows_bulk_string(size, position_)) return ParseStatus::malformed;
    bulk_size_ = static_cast<std::size_t>(size);
    state_ = State::bulk_value;
    return ParseStatus::complete;
}

ParseStatus ReplyParser::parse_bulk_value(std::string_view bytes) {
    const ParseStatus status = parse_value_end(bytes, position_ + bulk_size_);
    if (status != ParseStatus::complete) return status;
    Reply element{ReplyType::bulk_string, std::string(bytes.substr(position_, bulk_size_)), {}};
    position_ += bulk_size_ + crlf_bytes;
    return accept(std::move(element));
}

// Stores a parsed element. Outside an array the element is the complete reply.
ParseStatus ReplyParser::accept(Reply element) {
    if (reply_.type != ReplyType::array) {
        reply_ = std::move(element);
        state_ = State::complete;
        return ParseStatus::complete;
    }
    reply_.elements.push_back(std::move(element));
    state_ = reply_.elements.size() < expected_element_count_ ? State::element : State::complete;
    return ParseStatus::complete;
}

void ReplyParser::reset() {
    state_ = State::start;
    position_ = 0;
    reply_ = Reply{};
}

}  // namespace silverreach::resp
