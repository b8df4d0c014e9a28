// Buffers the bytes of one reply at a time and parses them. Does no I/O.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "event/buffer_budget.h"
#include "resp/reply_parser.h"

namespace silverreach::upstream_resp {

class ResponseReader {
  public:
    // `budget` is shared by all readers of an Upstream and must outlive the reader.
    explicit ResponseReader(event::BufferBudget& budget);

    resp::ParseStatus append(std::string_view bytes);
    std::size_t buffered() const { return buffer_.size(); }
    // The next three are valid only after append() has returned `complete`.
    bool has_trailing_bytes() const { return parser_.consumed() < buffer_.size(); }
    bool is_error_line() const { return buffer_.front() == '-'; }
    resp::Reply take() { return parser_.take(); }
    // Discards the buffered bytes and prepares for the next reply.
    void reset();

  private:
    resp::ReplyParser parser_;
    std::string buffer_;
    event::BufferBudget::Reservation reservation_;  // for buffer_
};

}  // namespace silverreach::upstream_resp
