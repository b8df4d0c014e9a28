#include "platform/object_reader.h"

#include <algorithm>
#include <utility>

namespace silverreach::platform {

ObjectReader::Got ObjectReader::look(std::string_view& bytes) {
    if (depth_ == 0) {
        bytes.remove_prefix(std::min(bytes.find_first_not_of(" \t\r\n"), bytes.size()));
        if (bytes.empty()) return Got::more;
        if (bytes.front() != '{') return why_ = "something else than an object", Got::broken;
    }
    std::size_t at = 0;
    bool whole = false;
    while (at < bytes.size() && !whole) {
        const char c = bytes[at++];
        if (in_text_) {
            // A text never holds a line's end: the object was torn and another line has begun.
            if (static_cast<unsigned char>(c) < ' ')
                return why_ = "a text that does not end", Got::broken;
            in_text_ = escaped_ || c != '"';
            escaped_ = !escaped_ && c == '\\';
        } else if (c == '"') {
            in_text_ = true;
        } else if (c == '{' || c == '[') {
            ++depth_;
        } else if (c == '}' || c == ']') {
            whole = --depth_ == 0;
        }
    }
    object_.append(bytes.substr(0, at));
    bytes.remove_prefix(at);
    if (object_.size() > most_) return why_ = "an object without end", Got::broken;
    return whole ? Got::whole : Got::more;
}

std::string ObjectReader::take() {
    return std::exchange(object_, {});
}

}  // namespace silverreach::platform
