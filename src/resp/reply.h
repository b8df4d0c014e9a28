// RESP2 answers as a client reads them: a status or error line, a number, a bulk string, or an
// array of these without arrays in it. No I/O. Lengths are judged as command.h says.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "resp/command.h"

namespace silverreach::resp {

enum class Kind {
    status,
    error,
    number,
    bulk,
    null,
    array
};

struct Reply {
    Kind kind = Kind::null;
    std::string text;          // of a status, an error, a number or a bulk
    std::vector<Reply> items;  // of an array
};

class ReplyReader {
  public:
    explicit ReplyReader(Limits limits = {}) : limits_(limits) {}
    // `bytes` begin with the answer under way; between two calls they only grow.
    Got look(std::string_view bytes);
    std::size_t size() const { return at_; }  // bytes of the whole answer
    Reply take() { return std::move(reply_); }
    void next();

  private:
    Got one(std::string_view bytes, Reply& into);
    Limits limits_;
    std::size_t at_ = 0;
    std::int64_t items_ = -1, bulk_ = -1;
    bool in_array_ = false;
    Reply reply_;
};

}  // namespace silverreach::resp
