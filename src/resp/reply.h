// A RESP2 reply.
#pragma once

#include <string>
#include <vector>

namespace silverreach::resp {

enum class ReplyType {
    status,
    error,
    integer,
    bulk_string,
    null,
    array
};

struct Reply {
    ReplyType type = ReplyType::null;
    std::string text;             // of a status, an error, an integer or a bulk string
    std::vector<Reply> elements;  // of an array
};

}  // namespace silverreach::resp
