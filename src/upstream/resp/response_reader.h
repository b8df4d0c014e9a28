// Buffers the bytes of one reply at a time and parses them. Does no I/O.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "resp/reply_parser.h"

namespace silverreach::upstream_resp {

class ResponseReader {
  public:
    // `total_buffered` is the number of bytes that all readers of an Upstream buffer. It must
    // outlive the reader.
    explicit ResponseReader(std::size_t& total_buffered);

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
    std::size_t& total_buffered_;
};

}  // namespace silverreach::upstream_resp
