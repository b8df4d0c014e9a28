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

ResponseReader::ResponseReader(event::BufferBudget& budget)
    : parser_(reply_limits), reservation_(budget) {}

resp::ParseStatus ResponseReader::append(std::string_view bytes) {
    buffer_.append(bytes);
    reservation_.resize(buffer_.size());
    return parser_.parse(buffer_);
}

void ResponseReader::reset() {
    buffer_.clear();
    reservation_.resize(0);
    if (buffer_.capacity() > max_retained_capacity) buffer_.shrink_to_fit();
    parser_.reset();
}

}  // namespace silverreach::upstream_resp
