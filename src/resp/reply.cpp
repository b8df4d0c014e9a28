#include "resp/reply.h"

#include <algorithm>

namespace silverreach::resp {

Got ReplyReader::one(std::string_view bytes, Reply& into) {
    if (bulk_ < 0) {
        if (at_ >= bytes.size()) return Got::more;
        const char mark = bytes[at_];
        if (mark == '+' || mark == '-' || mark == ':') {
            const std::string_view rest = bytes.substr(at_ + 1, limits_.line + 2);
            const std::size_t end = rest.find('\r');
            if (end == std::string_view::npos)
                return rest.size() > limits_.line ? Got::broken : Got::more;
            const std::string_view line = rest.substr(0, end);
            if (end > limits_.line || line.find('\n') != std::string_view::npos) return Got::broken;
            if (end + 1 >= rest.size()) return Got::more;
            if (rest[end + 1] != '\n') return Got::broken;
            into.kind = mark == '+' ? Kind::status : mark == '-' ? Kind::error : Kind::number;
            into.text = line;
            at_ += 1 + end + 2;
            return Got::whole;
        }
        const Got got = read_length(bytes, at_, '$', bulk_);
        if (got != Got::whole) return got;
        if (bulk_ == -1) return into = Reply{}, Got::whole;
        if (bulk_ < 0 || bulk_ > static_cast<std::int64_t>(limits_.bulk) ||
            at_ + static_cast<std::size_t>(bulk_) > limits_.total)
            return Got::broken;
    }
    const auto length = static_cast<std::size_t>(bulk_);
    if (const Got end = read_value_end(bytes, at_ + length); end != Got::whole) return end;
    into.kind = Kind::bulk;
    into.text = bytes.substr(at_, length);
    at_ += length + 2;
    bulk_ = -1;
    return Got::whole;
}

Got ReplyReader::look(std::string_view bytes) {
    if (bytes.empty()) return Got::more;
    if (!in_array_ && bytes.front() != '*') return one(bytes, reply_);
    if (items_ < 0) {
        in_array_ = true;
        const Got got = read_length(bytes, at_, '*', items_);
        if (got != Got::whole) return got;
        if (items_ < 0 || items_ > static_cast<std::int64_t>(limits_.items)) return Got::broken;
        reply_ = Reply{Kind::array, {}, {}};
    }
    while (reply_.items.size() < static_cast<std::size_t>(items_)) {
        Reply item;
        const Got got = one(bytes, item);
        if (got != Got::whole) return got;
        reply_.items.push_back(std::move(item));
    }
    return Got::whole;
}

void ReplyReader::next() {
    at_ = 0, items_ = bulk_ = -1, in_array_ = false;
    reply_ = Reply{};
}

}  // namespace silverreach::resp
