#include "resp/command.h"

#include <charconv>

namespace silverreach::resp {
namespace {
constexpr std::size_t most_digits = 10;  // of a length; a longer one is huge whatever follows
}  // namespace

Got read_length(std::string_view bytes, std::size_t& at, char mark, std::int64_t& value) {
    if (at >= bytes.size()) return Got::more;
    if (bytes[at] != mark) return Got::broken;
    const std::string_view rest = bytes.substr(at + 1, most_digits + 3);
    const std::size_t end = rest.find('\r');
    const std::string_view digits = rest.substr(0, end);
    if (digits.size() > most_digits + 1) return Got::broken;
    for (std::size_t i = 0; i < digits.size(); ++i)
        if ((digits[i] < '0' || digits[i] > '9') && !(i == 0 && digits[i] == '-'))
            return Got::broken;
    if (end == std::string_view::npos || end + 1 >= rest.size()) return Got::more;
    if (rest[end + 1] != '\n') return Got::broken;
    const auto read = std::from_chars(digits.data(), digits.data() + digits.size(), value);
    if (read.ec != std::errc() || read.ptr != digits.data() + digits.size()) return Got::broken;
    at += 1 + end + 2;
    return Got::whole;
}

Got read_value_end(std::string_view bytes, std::size_t at) {
    if (bytes.size() > at && bytes[at] != '\r') return Got::broken;
    if (bytes.size() < at + 2) return Got::more;
    return bytes[at + 1] == '\n' ? Got::whole : Got::broken;
}

Got CommandReader::look(std::string_view bytes) {
    if (items_ < 0) {
        const Got got = read_length(bytes, at_, '*', items_);
        if (got == Got::more) return got;
        if (got == Got::broken) return broken("expected an array of bulk strings");
        if (items_ < 1 || items_ > static_cast<std::int64_t>(limits_.items))
            return broken("a number of words out of range");
    }
    while (words_.size() < static_cast<std::size_t>(items_)) {
        if (bulk_ < 0) {
            const Got got = read_length(bytes, at_, '$', bulk_);
            if (got == Got::more) return got;
            if (got == Got::broken) return broken("expected a bulk string");
            if (bulk_ < 0 || bulk_ > static_cast<std::int64_t>(limits_.bulk) ||
                at_ + static_cast<std::size_t>(bulk_) > limits_.total)
                return broken("a length out of range");
        }
        const auto length = static_cast<std::size_t>(bulk_);
        const Got end = read_value_end(bytes, at_ + length);
        if (end == Got::more) return end;
        if (end == Got::broken) return broken("a length that does not fit");
        words_.emplace_back(at_, length);
        at_ += length + 2;
        bulk_ = -1;
    }
    return Got::whole;
}

void CommandReader::next() {
    at_ = 0, items_ = bulk_ = -1;
    words_.clear();
}

void append_array(std::string& out, std::size_t items) {
    out.append("*").append(std::to_string(items)).append("\r\n");
}
void append_bulk(std::string& out, std::string_view value) {
    out.append("$")
        .append(std::to_string(value.size()))
        .append("\r\n")
        .append(value)
        .append("\r\n");
}

}  // namespace silverreach::resp
