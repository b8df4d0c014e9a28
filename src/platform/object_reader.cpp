#include "platform/object_reader.h"

#include <algorithm>
#include <utility>

namespace silverreach::platform {

ObjectReader::Status ObjectReader::read(std::string_view& bytes) {
    if (depth_ == 0) {
        bytes.remove_prefix(std::min(bytes.find_first_not_of(" \t\r\n"), bytes.size()));
        if (bytes.empty()) return Status::incomplete;
        if (bytes.front() != '{')
            return error_ = "data that does not start with an object", Status::malformed;
    }
    std::size_t length = 0;
    bool is_complete = false;
    while (length < bytes.size() && !is_complete) {
        const char character = bytes[length++];
        if (in_string_) {
            // A JSON string contains no raw line break: the object was cut off and another line
            // follows.
            if (static_cast<unsigned char>(character) < ' ')
                return error_ = "a control character in a string", Status::malformed;
            in_string_ = escaped_ || character != '"';
            escaped_ = !escaped_ && character == '\\';
        } else if (character == '"') {
            in_string_ = true;
        } else if (character == '{' || character == '[') {
            ++depth_;
        } else if (character == '}' || character == ']') {
            is_complete = --depth_ == 0;
        }
    }
    object_.append(bytes.substr(0, length));
    bytes.remove_prefix(length);
    if (object_.size() > max_object_bytes_)
        return error_ = "an object over the size limit", Status::malformed;
    return is_complete ? Status::complete : Status::incomplete;
}

std::string ObjectReader::take() {
    return std::exchange(object_, {});
}

}  // namespace silverreach::platform
