#include "resp/serializer.h"

namespace silverreach::resp {

void append_array(std::string& out, std::size_t elements) {
    out.append("*").append(std::to_string(elements)).append("\r\n");
}

void append_bulk(std::string& out, std::string_view value) {
    out.append("$")
        .append(std::to_string(value.size()))
        .append("\r\n")
        .append(value)
        .append("\r\n");
}

}  // namespace silverreach::resp
