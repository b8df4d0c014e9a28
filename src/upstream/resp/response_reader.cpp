#include "upstream/resp/response_reader.h"

namespace silverreach::upstream_resp {
namespace {
constexpr std::size_t bytes_per_kib = 1024;
// Hosts send values larger than the 64 KiB that the platform's protocol allows.
constexpr resp::ParseLimits reply_limits{.max_elements = 8,
                                         .max_bulk_bytes = 1024 * bytes_per_kib,
                                         .max_message_bytes = 1028 * bytes_per_kib,
                                         .max_line_bytes = 256};
constexpr std::size_t max_retained_capacity = 4 * bytes_per_kib;  // of the buffer between replies
}  // namespace

ResponseReader::ResponseReader(std::size_t& total_buffered)
    : parser_(reply_limits), total_buffered_(total_buffered) {}

resp::ParseStatus ResponseReader::append(std::string_view bytes) {
    buffer_.append(bytes);
    total_buffered_ += bytes.size();
    return parser_.parse(buffer_);
}

void ResponseReader::reset() {
    total_buffered_ -= buffer_.size();
    buffer_.clear();
    if (buffer_.capacity() > max_retained_capacity) buffer_.shrink_to_fit();
    parser_.reset();
}

}  // namespace silverreach::upstream_resp
